#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Daemon.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check, false, "only check the settings and key files");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plantaindrift-agent --settings=FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    absl::Status const status = argc > 1 || FLAGS_settings.empty()
        ? plantaindrift::makeError(plantaindrift::ErrorKind::InvalidSettings, "usage: plantaindrift-agent --settings=FILE [--check]; name the settings file")
        : plantaindrift::runAgent(FLAGS_settings, FLAGS_check);
    if (!status.ok())
        std::cerr << status.message() << '\n';
    return plantaindrift::exitCode(status);
}
