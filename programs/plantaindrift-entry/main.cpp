#include "plantaindrift/runtime/Daemon.h"

int main(int argc, char** argv)
{
    std::span<char const* const> const arguments(argv, static_cast<std::size_t>(argc));
    return plantaindrift::runDaemonProgram("plantaindrift-entry", arguments.subspan(1), plantaindrift::runEntry);
}
