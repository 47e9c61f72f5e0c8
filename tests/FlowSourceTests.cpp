// Guards against flows that are missing or added when an agent rebuilds its flow table from the target's list.

#include "plantaindrift/base/Error.h"
#include "runtime/FlowSource.h"
#include "runtime/TargetMonitor.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace plantaindrift;

BOOST_AUTO_TEST_CASE(SocketTableIsRead)
{
    std::string const table = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"
                              "   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 1 1 0\n"
                              "   1: 0A7100CB:0050 016433C6:2710 01 00000000:00000000 00:00000000 00000000     0        0 2 1 0\n"
                              "   2: 0A7100CB:0050 016433C6:2711 06 00000000:00000000 03:00000000 00000000     0        0 0 3 0\n"
                              "   3: 0A7100CB:0050 016433C6:2712 08 00000000:00000000 00:00000000 00000000     0        0 3 1 0\n"
                              "   4: 0A7100CB:0050 016433C6:2713 03 00000000:00000000 00:00000000 00000000     0        0 4 1 0\n"
                              "   5: garbage\n";
    std::vector<FlowKey> const flows = parseSocketTable(table);
    BOOST_REQUIRE(flows.size() == 3U);
    BOOST_TEST(formatEndpoint(flows[0].destination) == "203.0.113.10:80");
    BOOST_TEST(formatEndpoint(flows[0].source) == "198.51.100.1:10000");
    BOOST_TEST(flows[1].source.port == 10002);
    BOOST_TEST(flows[2].source.port == 10003);
}

BOOST_AUTO_TEST_CASE(FlowListIsRead)
{
    absl::StatusOr<std::vector<FlowKey>> const flows = parseFlowList(R"([{"source":"198.51.100.1:10000","destination":"203.0.113.10:80","protocol":"tcp"},
        {"source":"198.51.100.1:10001","destination":"203.0.113.10:53","protocol":"udp"}])");
    BOOST_REQUIRE(flows.ok());
    BOOST_REQUIRE(flows->size() == 2U);
    BOOST_TEST((flows->at(1).protocol == Protocol::Udp));
    BOOST_TEST(flows->at(0).source.port == 10000);
}

// A malformed list must not be taken for an empty one, or the agent would drop every flow.
BOOST_AUTO_TEST_CASE(MalformedListsAreErrors)
{
    for (std::string const text : { "", "{", "{}x", "[1]", R"([{"source":"x"}])", R"([{"source":"1.2.3.4:5","destination":"1.2.3.4:5","protocol":"sctp"}])", R"([{"source":"1.2.3.4","destination":"1.2.3.4:5","protocol":"tcp"}])" })
        BOOST_TEST((errorKind(parseFlowList(text).status()) == ErrorKind::InvalidMessage), text);
}

BOOST_AUTO_TEST_CASE(ReportsAreRead)
{
    absl::StatusOr<TargetReport> const report = parseTargetReport(R"({"healthy":true,"busy_slots":3,"open_connections":40,"uptime_seconds":9})");
    BOOST_REQUIRE(report.ok());
    BOOST_TEST(report->load.busySlots == 3U);
    BOOST_TEST(report->load.openConnections == 40U);
    BOOST_TEST(report->uptime->count() == 9);
    for (std::string const text : { "", "[]", R"({"healthy":true})", R"({"healthy":1,"busy_slots":3,"open_connections":40})", R"({"healthy":true,"busy_slots":"3","open_connections":40})" })
        BOOST_TEST((errorKind(parseTargetReport(text).status()) == ErrorKind::InvalidMessage), text);
}
