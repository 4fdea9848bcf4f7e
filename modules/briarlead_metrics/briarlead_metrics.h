#ifndef BRIARLEAD_METRICS_BRIARLEAD_METRICS_H_
#define BRIARLEAD_METRICS_BRIARLEAD_METRICS_H_

// Umbrella header of briarlead_metrics: counters, gauges and latency
// histograms with fixed labels. Depends on briarlead_core.

#include "briarlead_metrics/latency_histogram.h"
#include "briarlead_metrics/metrics.h"
#include "briarlead_metrics/request_outcome.h"

#endif  // BRIARLEAD_METRICS_BRIARLEAD_METRICS_H_
