#ifndef BRIARLEAD_APP_EXIT_CODES_H_
#define BRIARLEAD_APP_EXIT_CODES_H_

namespace briarlead {

/// Exit codes of the program; docs/operations/commands.md lists them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitFindings = 3;
inline constexpr int kExitConflict = 4;
inline constexpr int kExitUnreachable = 5;
/// The change is in force, but not yet confirmed in every data centre.
inline constexpr int kExitNotEverywhere = 6;

}  // namespace briarlead

#endif  // BRIARLEAD_APP_EXIT_CODES_H_
