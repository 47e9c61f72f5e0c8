// Stand-in for a server of a service: a small TCP and UDP responder behind a Geneve decapsulation port.
//
// TCP, by lines:  REQ <service> <id>          -> ANS <id> <target>
//                 UP <service> <id> <bytes>   followed by the bytes -> ANS <id> <target>
//                 FEED <service> <id>         -> MSG <n> every 100 ms until the caller closes
// UDP:            REQ <service> <id>          -> ANS <id> <target>

#include "common/MiniTcp.h"
#include "common/Process.h"
#include "plantaindrift/packet/Encapsulation.h"

#include <array>
#include <cctype>
#include <deque>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <random>
#include <set>

DEFINE_string(name, "target-1", "name in answers");
DEFINE_string(service, "rota-desk", "service that this target serves; requests for another count as misrouted");
DEFINE_string(addresses, "", "service addresses A.B.C.D:PORT,... that packets may be sent to; empty allows all");
DEFINE_string(listen, "127.0.0.1:7010", "UDP endpoint for Geneve from the agent");
DEFINE_string(return_to, "127.0.0.1:7001", "UDP endpoint of the fabric for Geneve with answers");
DEFINE_string(http, "127.0.0.1:7011", "HTTP endpoint: GET /load, /flows, /executed, /counts; PUT /fault");
DEFINE_int32(slots, 7, "requests served at once");
DEFINE_int32(connections, 2000, "open connections at once");
DEFINE_int32(service_ms, 5, "time that a request holds a slot");
DEFINE_int32(load_lag_ms, 0, "age of the load that GET /load reports");
DEFINE_int32(reported_busy, -1, "busy slots that GET /load always reports; -1 reports the true number");
DEFINE_bool(healthy, true, "health that GET /load reports");
DEFINE_uint64(seed, 1, "seed of initial sequence numbers");

namespace plantaindrift::standins {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 5 };
    constexpr std::chrono::milliseconds feedInterval { 100 };
    constexpr std::chrono::seconds closedTime { 5 };
    constexpr std::chrono::seconds udpTime { 60 };

    struct Connection {
        std::unique_ptr<MiniTcp> tcp;
        bool feed { false };
        TimePoint nextMessage {};
        std::uint64_t messages { 0 };
        std::string uploadId;
        std::size_t uploadBytes { 0 };
        std::optional<TimePoint> ended;
    };

    struct UdpFlow {
        TimePoint lastPacket {};
        std::map<std::string, std::string> answers;
    };

    struct Work {
        FlowKey flow;
        std::string id;
        bool udp { false };
    };

    struct Counts {
        std::uint64_t accepted { 0 };
        std::uint64_t executed { 0 };
        std::uint64_t duplicated { 0 };
        std::uint64_t misrouted { 0 };
        std::uint64_t unknownFlow { 0 };
        std::uint64_t malformed { 0 };
        std::uint64_t cancelled { 0 };
        std::uint64_t feedMessages { 0 };
        std::uint64_t overLimit { 0 };
    };

    struct LoadSample {
        TimePoint time {};
        std::uint32_t busy { 0 };
        std::size_t connections { 0 };
    };

    class Target {
    public:
        Target()
            : socket_(process_.loop)
            , http_(process_.loop, requireEndpoint("http", FLAGS_http), [this](HttpRequest const& request) { return answer(request); })
            , returnTo_(requireEndpoint("return_to", FLAGS_return_to))
            , random_(FLAGS_seed)
            , started_(std::chrono::steady_clock::now())
        {
            headerBytes_ = writePlainHeader(header_);
            for (std::string const& address : splitList(FLAGS_addresses, ','))
                addresses_.insert(requireEndpoint("addresses", address));
        }

        void run()
        {
            requireOk(socket_.start(requireEndpoint("listen", FLAGS_listen), [this](std::span<std::byte const> datagram, Endpoint) { receive(datagram); }));
            requireOk(http_.start());
            process_.run(tickInterval, [this](TimePoint now) { tick(now); });
            printSummary("target_summary", counts());
        }

    private:
        Process process_;
        UdpSocket socket_;
        HttpServer http_;
        Endpoint returnTo_;
        std::mt19937_64 random_;
        TimePoint started_;
        std::array<std::byte, maximumHeaderBytes> header_ {};
        std::size_t headerBytes_ { 0 };
        std::set<Endpoint> addresses_;
        std::map<FlowKey, Connection> connections_;
        std::map<FlowKey, UdpFlow> udpFlows_;
        std::set<std::string> executed_;
        std::deque<Work> waiting_;
        std::multimap<TimePoint, Work> working_;
        std::deque<LoadSample> samples_;
        Counts counts_;

        [[nodiscard]] nlohmann::json counts() const
        {
            nlohmann::json json;
            json["name"] = FLAGS_name;
            json["service"] = FLAGS_service;
            json["accepted"] = counts_.accepted;
            json["executed"] = counts_.executed;
            json["duplicated"] = counts_.duplicated;
            json["misrouted"] = counts_.misrouted;
            json["unknown_flow"] = counts_.unknownFlow;
            json["malformed"] = counts_.malformed;
            json["cancelled"] = counts_.cancelled;
            json["feed_messages"] = counts_.feedMessages;
            json["over_limit"] = counts_.overLimit;
            json["open"] = openConnections();
            return json;
        }

        [[nodiscard]] std::size_t openConnections() const
        {
            return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), [](std::pair<FlowKey const, Connection> const& item) { return !item.second.ended; }));
        }

        HttpAnswer answer(HttpRequest const& request)
        {
            if (request.method == "PUT" && request.path == "/fault")
                return setFaults(request.body);
            if (request.path == "/load")
                return jsonAnswer(load());
            if (request.path == "/flows")
                return jsonAnswer(flows());
            if (request.path == "/executed")
                return jsonAnswer(nlohmann::json(executed_));
            return jsonAnswer(counts());
        }

        // The body has FLAG=VALUE lines, for the flags that change while the process runs.
        HttpAnswer setFaults(std::string const& body)
        {
            static std::set<std::string> const allowed { "healthy", "reported_busy", "load_lag_ms", "service_ms" };
            for (std::string const& line : splitList(body, '\n')) {
                std::vector<std::string> const fields = splitList(line, '=');
                if (fields.size() != 2 || !allowed.contains(fields[0]) || gflags::SetCommandLineOption(fields[0].c_str(), fields[1].c_str()).empty())
                    return { 400, "use healthy, reported_busy, load_lag_ms or service_ms, as NAME=VALUE lines\n" };
            }
            return { 200, "ok\n" };
        }

        [[nodiscard]] nlohmann::json load() const
        {
            TimePoint const now = std::chrono::steady_clock::now();
            LoadSample shown;
            for (LoadSample const& sample : samples_) {
                if (sample.time <= now - std::chrono::milliseconds(FLAGS_load_lag_ms))
                    shown = sample;
            }
            nlohmann::json json;
            json["healthy"] = FLAGS_healthy;
            json["busy_slots"] = FLAGS_reported_busy >= 0 ? static_cast<std::uint32_t>(FLAGS_reported_busy) : shown.busy;
            json["open_connections"] = shown.connections;
            json["uptime_seconds"] = std::chrono::duration_cast<std::chrono::seconds>(now - started_).count();
            return json;
        }

        [[nodiscard]] nlohmann::json flows() const
        {
            nlohmann::json list = nlohmann::json::array();
            for (std::pair<FlowKey const, Connection> const& item : connections_) {
                if (!item.second.ended)
                    list.push_back(flowJson(item.first));
            }
            for (std::pair<FlowKey const, UdpFlow> const& item : udpFlows_)
                list.push_back(flowJson(item.first));
            return list;
        }

        static nlohmann::json flowJson(FlowKey const& flow)
        {
            return { { "source", formatEndpoint(flow.source) }, { "destination", formatEndpoint(flow.destination) }, { "protocol", flow.protocol == Protocol::Tcp ? "tcp" : "udp" } };
        }

        void send(Bytes const& packet)
        {
            socket_.send(returnTo_, std::span<std::byte const>(header_).first(headerBytes_), std::as_bytes(std::span(packet)));
        }

        void receive(std::span<std::byte const> datagram)
        {
            DecodedDatagram const decoded = decodePlain(datagram);
            if (decoded.error != DatagramError::None) {
                ++counts_.malformed;
                return;
            }
            try {
                Tins::IP const ip(reinterpret_cast<std::uint8_t const*>(decoded.inner.data()), static_cast<std::uint32_t>(decoded.inner.size()));
                if (Tins::TCP const* const tcp = ip.find_pdu<Tins::TCP>())
                    receiveTcp(ip, *tcp);
                else if (Tins::UDP const* const udp = ip.find_pdu<Tins::UDP>())
                    receiveUdp(ip, *udp);
            } catch (Tins::exception_base const&) {
                ++counts_.malformed;
            }
        }

        bool isOwnAddress(Endpoint destination)
        {
            bool const own = addresses_.empty() || addresses_.contains(destination);
            counts_.misrouted += own ? 0 : 1;
            return own;
        }

        void receiveTcp(Tins::IP const& ip, Tins::TCP const& tcp)
        {
            FlowKey const flow { sourceOf(ip, tcp.sport()), destinationOf(ip, tcp.dport()), Protocol::Tcp };
            if (!isOwnAddress(flow.destination))
                return;
            TimePoint const now = std::chrono::steady_clock::now();
            bool const syn = tcp.get_flag(Tins::TCP::SYN) != 0 && tcp.get_flag(Tins::TCP::ACK) == 0;
            std::map<FlowKey, Connection>::iterator found = connections_.find(flow);
            if (syn && found != connections_.end() && found->second.ended)
                found = connections_.erase(found);
            if (found == connections_.end() || !(found->first == flow)) {
                openOrReset(flow, tcp, syn, now);
                return;
            }
            Connection& connection = found->second;
            connection.tcp->receive(tcp, now);
            readInput(flow, connection, now);
        }

        void openOrReset(FlowKey const& flow, Tins::TCP const& tcp, bool syn, TimePoint now)
        {
            if (!syn) {
                // A kernel without the connection answers in the same way.
                if (tcp.get_flag(Tins::TCP::RST) == 0) {
                    ++counts_.unknownFlow;
                    send(MiniTcp::makeReset(flow.destination, flow.source, tcp));
                }
                return;
            }
            counts_.overLimit += openConnections() >= static_cast<std::size_t>(FLAGS_connections) ? 1 : 0;
            ++counts_.accepted;
            Connection connection;
            connection.tcp = std::make_unique<MiniTcp>(flow.destination, flow.source, static_cast<std::uint32_t>(random_()), [this](Bytes const& packet) { send(packet); });
            connection.tcp->accept(tcp, now);
            connections_[flow] = std::move(connection);
        }

        void readInput(FlowKey const& flow, Connection& connection, TimePoint now)
        {
            std::string& input = connection.tcp->input();
            while (!input.empty()) {
                if (connection.uploadBytes > 0) {
                    std::size_t const taken = std::min(connection.uploadBytes, input.size());
                    input.erase(0, taken);
                    connection.uploadBytes -= taken;
                    if (connection.uploadBytes == 0)
                        accept({ flow, connection.uploadId, false });
                    continue;
                }
                std::size_t const end = input.find('\n');
                if (end == std::string::npos)
                    break;
                readLine(flow, connection, input.substr(0, end), now);
                input.erase(0, end + 1);
            }
            if (connection.tcp->isPeerFinished() && !isPending(flow))
                connection.tcp->close(now);
        }

        [[nodiscard]] bool isPending(FlowKey const& flow) const
        {
            bool const waits = std::any_of(waiting_.begin(), waiting_.end(), [&flow](Work const& work) { return work.flow == flow; });
            return waits || std::any_of(working_.begin(), working_.end(), [&flow](std::pair<TimePoint const, Work> const& item) { return item.second.flow == flow; });
        }

        void readLine(FlowKey const& flow, Connection& connection, std::string const& line, TimePoint now)
        {
            std::vector<std::string> const words = splitList(line, ' ');
            if (words.size() < 3) {
                ++counts_.malformed;
                return;
            }
            if (words[1] != FLAGS_service) {
                ++counts_.misrouted;
                return;
            }
            if (words[0] == "REQ")
                accept({ flow, words[2], false });
            else if (words[0] == "FEED")
                startFeed(connection, now);
            else if (words[0] == "UP" && words.size() == 4) {
                connection.uploadId = words[2];
                connection.uploadBytes = std::strtoul(words[3].c_str(), nullptr, 10);
            }
        }

        static void startFeed(Connection& connection, TimePoint now)
        {
            connection.feed = true;
            connection.nextMessage = now;
        }

        void receiveUdp(Tins::IP const& ip, Tins::UDP const& udp)
        {
            FlowKey const flow { sourceOf(ip, udp.sport()), destinationOf(ip, udp.dport()), Protocol::Udp };
            Tins::RawPDU const* const raw = udp.find_pdu<Tins::RawPDU>();
            if (!isOwnAddress(flow.destination) || raw == nullptr)
                return;
            std::vector<std::string> const words = splitList(std::string(raw->payload().begin(), raw->payload().end()), ' ');
            if (words.size() != 3 || words[0] != "REQ") {
                ++counts_.malformed;
                return;
            }
            if (words[1] != FLAGS_service) {
                ++counts_.misrouted;
                return;
            }
            UdpFlow& known = udpFlows_[flow];
            known.lastPacket = std::chrono::steady_clock::now();
            std::map<std::string, std::string>::const_iterator const earlier = known.answers.find(words[2]);
            if (earlier == known.answers.end()) {
                known.answers[words[2]] = "";
                accept({ flow, words[2], true });
            } else if (!earlier->second.empty()) {
                // A datagram that the caller sent again runs nothing: it gets the first answer.
                send(makeUdpPacket(flow.destination, flow.source, earlier->second));
            }
        }

        void accept(Work work)
        {
            waiting_.push_back(std::move(work));
            startWork();
        }

        void startWork()
        {
            TimePoint const now = std::chrono::steady_clock::now();
            while (!waiting_.empty() && working_.size() < static_cast<std::size_t>(FLAGS_slots)) {
                Work const work = waiting_.front();
                waiting_.pop_front();
                if (isCancelled(work)) {
                    ++counts_.cancelled;
                    continue;
                }
                ++counts_.executed;
                counts_.duplicated += executed_.insert(work.id).second ? 0 : 1;
                working_.emplace(now + std::chrono::milliseconds(FLAGS_service_ms), work);
            }
        }

        [[nodiscard]] bool isCancelled(Work const& work) const
        {
            std::map<FlowKey, Connection>::const_iterator const found = connections_.find(work.flow);
            return !work.udp && (found == connections_.end() || found->second.tcp->end() != TcpEnd::Open);
        }

        void finishWork(Work const& work, TimePoint now)
        {
            std::string const text = "ANS " + work.id + ' ' + FLAGS_name;
            if (work.udp) {
                udpFlows_[work.flow].answers[work.id] = text;
                send(makeUdpPacket(work.flow.destination, work.flow.source, text));
                return;
            }
            std::map<FlowKey, Connection>::iterator const found = connections_.find(work.flow);
            if (found == connections_.end())
                return;
            found->second.tcp->write(text + '\n', now);
            if (found->second.tcp->isPeerFinished())
                found->second.tcp->close(now);
        }

        void tick(TimePoint now)
        {
            while (!working_.empty() && working_.begin()->first <= now) {
                Work const work = working_.begin()->second;
                working_.erase(working_.begin());
                finishWork(work, now);
            }
            startWork();
            tickConnections(now);
            std::erase_if(udpFlows_, [now](std::pair<FlowKey const, UdpFlow> const& item) { return now - item.second.lastPacket > udpTime; });
            sampleLoad(now);
        }

        void tickConnections(TimePoint now)
        {
            for (std::pair<FlowKey const, Connection>& item : connections_) {
                Connection& connection = item.second;
                connection.tcp->tick(now);
                if (connection.tcp->end() != TcpEnd::Open && !connection.ended)
                    connection.ended = now;
                if (connection.feed && !connection.ended && !connection.tcp->isPeerFinished() && now >= connection.nextMessage)
                    sendFeedMessage(connection, now);
            }
            // Ended connections stay for a while, so that late segments are not answered by a reset.
            std::erase_if(connections_, [now](std::pair<FlowKey const, Connection> const& item) { return item.second.ended && now - *item.second.ended > closedTime; });
        }

        void sendFeedMessage(Connection& connection, TimePoint now)
        {
            connection.nextMessage += feedInterval;
            ++counts_.feedMessages;
            connection.tcp->write("MSG " + std::to_string(++connection.messages) + '\n', now);
        }

        void sampleLoad(TimePoint now)
        {
            constexpr std::size_t keptSamples = 4000;
            samples_.push_back({ now, static_cast<std::uint32_t>(working_.size()), openConnections() });
            if (samples_.size() > keptSamples)
                samples_.pop_front();
        }
    };

} // namespace

} // namespace plantaindrift::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    plantaindrift::startLog(plantaindrift::LogLevel::Info, "");
    plantaindrift::standins::Target().run();
    return 0;
}
