// Measures what membership costs: bytes, memory, processor time and delays, with the real control logic of entries
// and agents and a fake network in virtual time. Prints key=value lines; see docs/CAPACITY.md.

#include "AllocationCounter.h"
#include "Measurements.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_bool(exact, false, "print only figures that do not depend on the machine");
DEFINE_string(sizes, "10,50,200", "numbers of entries of the measured fleets");
DEFINE_string(only, "", "one section: sizes, memory, operations, traffic, changes, joining, storm");

namespace plantaindrift::bench {

namespace {

    std::vector<int> parseSizes(std::string const& text)
    {
        std::vector<int> sizes;
        for (std::size_t begin = 0; begin < text.size();) {
            std::size_t const comma = std::min(text.find(',', begin), text.size());
            sizes.push_back(std::stoi(text.substr(begin, comma - begin)));
            begin = comma + 1;
        }
        return sizes;
    }

    bool isWanted(std::string_view section)
    {
        return FLAGS_only.empty() || FLAGS_only == section;
    }

    void run()
    {
        std::vector<int> const sizes = parseSizes(FLAGS_sizes);
        if (isWanted("sizes"))
            measureSizes();
        if (isWanted("memory"))
            measureMemory();
        if (FLAGS_exact)
            return;
        if (isWanted("operations"))
            measureOperations();
        if (isWanted("traffic"))
            measureTraffic(sizes);
        if (isWanted("changes"))
            measureChanges(sizes);
        if (isWanted("joining"))
            measureJoining(sizes);
        if (isWanted("storm"))
            measureStorm(sizes);
    }

} // namespace

} // namespace plantaindrift::bench

int main(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    plantaindrift::bench::run();
    return 0;
}
