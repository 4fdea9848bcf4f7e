#include "briarlead_consensus/file_store.h"

namespace briarlead::consensus {

template class BasicFileStore<PosixFile>;

}  // namespace briarlead::consensus
