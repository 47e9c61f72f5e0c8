#include "runtime/ConfigurationLog.h"

#include "plantaindrift/runtime/Log.h"

#include <algorithm>

namespace plantaindrift {

void logConfigurationEvents(std::span<ConfigurationEvent const> events)
{
    std::span<ConfigurationEvent const> const logged = events.first(std::min(events.size(), maximumConfigurationLines));
    for (ConfigurationEvent const& event : logged)
        logEvent(LogLevel::Info, "configuration_exchange", { { "step", configurationStepName(event.step) }, { "peer", event.peer.isSet() ? formatEndpoint(event.peer) : "none" }, { "position", event.position }, { "peer_position", event.peerPosition } });
    if (logged.size() < events.size())
        logEvent(LogLevel::Info, "configuration_exchanges", { { "lines_left_out", events.size() - logged.size() } });
}

void addConfigurationMetrics(MetricsPage& page, EntryControl::Counts const& counts)
{
    page.addCounter("plantaindrift_configuration_requests_total", "Requests to peers for a newer configuration.", {}, static_cast<double>(counts.configurationRequests));
    page.addCounter("plantaindrift_configurations_sent_total", "Whole configurations, or missing parts of them, sent to peers.", {}, static_cast<double>(counts.snapshotsSent));
    page.addCounter("plantaindrift_answers_withheld_total", "Requests of peers not answered because the control budget was used up.", {}, static_cast<double>(counts.answersWithheld));
}

} // namespace plantaindrift
