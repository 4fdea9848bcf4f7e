#ifndef BRIARLEAD_CONTROL_BRIARLEAD_CONTROL_H_
#define BRIARLEAD_CONTROL_BRIARLEAD_CONTROL_H_

// Umbrella header of briarlead_control: the process of a control host. Its
// dependencies are listed in README.md.

#include "briarlead_control/control_process.h"

#endif  // BRIARLEAD_CONTROL_BRIARLEAD_CONTROL_H_
