#ifndef BRIARLEAD_APP_COMMANDS_H_
#define BRIARLEAD_APP_COMMANDS_H_

#include <string>
#include <vector>

namespace briarlead {

/// Arguments after the name of the command.
using Arguments = std::vector<std::string>;

// Each runs one command of the program and returns its exit code.

/// Serves callers on an entry host.
int RunEntry(const Arguments& arguments);
/// Runs a replica of the agreed state on a control host.
int RunControl(const Arguments& arguments);
/// Serves a list of routes on an entry host.
int RunGateway(const Arguments& arguments);
/// Keeps the list of routes on a control host.
int RunRegistry(const Arguments& arguments);
/// Changes the lists and reports where the change is in force.
int RunApply(const Arguments& arguments);
/// Checks settings and lists without starting anything.
int RunCheck(const Arguments& arguments);
/// Prints what a host knows.
int RunStatus(const Arguments& arguments);
/// Begins a planned stop of an entry host.
int RunDrain(const Arguments& arguments);

}  // namespace briarlead

#endif  // BRIARLEAD_APP_COMMANDS_H_
