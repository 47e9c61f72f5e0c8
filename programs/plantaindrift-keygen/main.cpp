#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Keys.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(epoch, 1, "number of the new key, 0 to 255; keys in use together need different numbers");

namespace {

constexpr int largestEpoch = 255;

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("plantaindrift-keygen --epoch=N >> KEYFILE: prints a new [[key]] table");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1 || FLAGS_epoch < 0 || FLAGS_epoch > largestEpoch) {
        std::cerr << "usage: plantaindrift-keygen --epoch=N; give a number from 0 to 255\n";
        return plantaindrift::exitCode(plantaindrift::makeError(plantaindrift::ErrorKind::InvalidSettings, ""));
    }
    std::cout << plantaindrift::generateKeyText(static_cast<std::uint8_t>(FLAGS_epoch));
    return 0;
}
