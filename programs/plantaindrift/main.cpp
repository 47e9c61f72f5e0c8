#include "plantaindrift/cli/CommandLine.h"

int main(int argc, char** argv)
{
    return plantaindrift::cli::runCommandLine(argc, argv);
}
