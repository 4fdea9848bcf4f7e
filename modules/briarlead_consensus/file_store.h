#ifndef BRIARLEAD_CONSENSUS_FILE_STORE_H_
#define BRIARLEAD_CONSENSUS_FILE_STORE_H_

#include "briarlead_consensus/basic_file_store.h"
#include "briarlead_consensus/posix_file.h"

namespace briarlead::consensus {

extern template class BasicFileStore<PosixFile>;

/// The store of a replica on the disk of its host.
using FileStore = BasicFileStore<PosixFile>;

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_FILE_STORE_H_
