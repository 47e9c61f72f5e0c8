// Stand-in for callers: opens flows to services as real IPv4 packets and counts what becomes of them.

#include "common/MiniTcp.h"
#include "common/Process.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <random>
#include <tins/icmp.h>

DEFINE_string(fabric, "127.0.0.1:7000", "UDP endpoint of the fabric");
DEFINE_string(listen, "127.0.0.1:7020", "UDP endpoint of this process");
DEFINE_string(http, "127.0.0.1:7021", "HTTP endpoint: GET /counts, GET /flows");
DEFINE_string(tcp, "", "TCP service as NAME=A.B.C.D:PORT");
DEFINE_string(udp, "", "UDP service as NAME=A.B.C.D:PORT");
DEFINE_int32(requests, 100, "TCP requests, each on a flow of its own");
DEFINE_int32(udp_requests, 0, "UDP requests, each on a flow of its own");
DEFINE_int32(request_rate, 50, "TCP and UDP requests started per second");
DEFINE_int32(feeds, 10, "feeds that stay open");
DEFINE_int32(feed_seconds, 10, "time that a feed stays open");
DEFINE_int32(uploads, 0, "uploads, started one every second");
DEFINE_int32(upload_bytes, 200000, "bytes of an upload");
DEFINE_int32(refusal_tries, 20, "times that a refused request is sent again on a new flow");
DEFINE_string(source, "198.51.100.1", "address of the callers' packets");
DEFINE_string(prefix, "r", "start of request ids");
DEFINE_uint64(seed, 1, "seed of initial sequence numbers");

namespace plantaindrift::standins {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 5 };
    constexpr std::chrono::milliseconds refusalPause { 200 };
    constexpr std::chrono::milliseconds udpTimeout { 500 };
    constexpr int udpTries = 20;
    // A feed gets a message every 100 ms; silence this long means that it is lost even if no reset comes.
    constexpr std::chrono::seconds feedSilence { 15 };
    constexpr std::chrono::seconds answerLimit { 60 };
    constexpr std::chrono::seconds lateTime { 2 };
    constexpr std::uint16_t firstPort = 10000;
    constexpr std::uint16_t lastPort = 60000;

    enum class Kind : std::uint8_t {
        Request,
        Feed,
        Upload
    };

    struct Flow {
        Kind kind { Kind::Request };
        std::string id;
        std::unique_ptr<MiniTcp> tcp;
        int refusals { 0 };
        bool requested { false };
        bool answered { false };
        bool ended { false };
        std::string target;
        std::uint64_t messages { 0 };
        TimePoint opened {};
        TimePoint lastMessage {};
        TimePoint endedAt {};
    };

    struct UdpFlow {
        std::string id;
        Endpoint local;
        int tries { 0 };
        int refusals { 0 };
        TimePoint lastSent {};
        bool ended { false };
    };

    struct Retry {
        TimePoint when {};
        Kind kind { Kind::Request };
        std::string id;
        int refusals { 0 };
        bool udp { false };
    };

    struct Counts {
        std::uint64_t flows { 0 }; ///< TCP flows that were established
        std::uint64_t broken { 0 }; ///< established flows that did not end as they should
        std::uint64_t requests { 0 };
        std::uint64_t answered { 0 };
        std::uint64_t refused { 0 }; ///< attempts; they are tried again
        std::uint64_t notRun { 0 }; ///< requests refused at every attempt
        std::uint64_t unknown { 0 }; ///< requests without an answer or refusal
        std::uint64_t wrongAnswers { 0 };
        std::uint64_t feedsOpened { 0 };
        std::uint64_t feedsEnded { 0 };
        std::uint64_t feedMessages { 0 };
        std::uint64_t feedGaps { 0 };
        std::uint64_t notEstablished { 0 };
        std::uint64_t retransmissions { 0 };
    };

    struct ServiceName {
        std::string name;
        Endpoint endpoint;
    };

    ServiceName parseService(std::string const& flag, std::string const& text)
    {
        std::size_t const equals = text.find('=');
        if (equals == std::string::npos)
            failUsage("--" + flag + "=" + text + " has no name; give NAME=A.B.C.D:PORT");
        return { text.substr(0, equals), requireEndpoint(flag, text.substr(equals + 1)) };
    }

    class Caller {
    public:
        Caller()
            : socket_(process_.loop)
            , http_(process_.loop, requireEndpoint("http", FLAGS_http), [this](HttpRequest const& request) { return answer(request); })
            , fabric_(requireEndpoint("fabric", FLAGS_fabric))
            , random_(FLAGS_seed)
            , started_(std::chrono::steady_clock::now())
        {
            if (!FLAGS_tcp.empty())
                tcpService_ = parseService("tcp", FLAGS_tcp);
            if (!FLAGS_udp.empty())
                udpService_ = parseService("udp", FLAGS_udp);
            std::optional<std::uint32_t> const source = parseAddress(FLAGS_source);
            if (!source)
                failUsage("--source=" + FLAGS_source + " is no IPv4 address; give A.B.C.D");
            source_ = *source;
        }

        void run()
        {
            requireOk(socket_.start(requireEndpoint("listen", FLAGS_listen), [this](std::span<std::byte const> packet, Endpoint) { receive(packet); }));
            requireOk(http_.start());
            process_.run(tickInterval, [this](TimePoint now) { tick(now); });
            printSummary("caller_summary", counts());
        }

    private:
        Process process_;
        UdpSocket socket_;
        HttpServer http_;
        Endpoint fabric_;
        std::mt19937_64 random_;
        TimePoint started_;
        ServiceName tcpService_;
        ServiceName udpService_;
        std::uint32_t source_ { 0 };
        std::uint16_t nextPort_ { firstPort };
        std::map<std::uint16_t, Flow> flows_;
        std::map<std::uint16_t, UdpFlow> udpFlows_;
        std::vector<Retry> retries_;
        int startedRequests_ { 0 };
        int startedUdp_ { 0 };
        int startedFeeds_ { 0 };
        int startedUploads_ { 0 };
        bool reported_ { false };
        Counts counts_;

        [[nodiscard]] nlohmann::json counts() const
        {
            nlohmann::json json;
            json["flows"] = counts_.flows;
            json["broken"] = counts_.broken;
            json["requests"] = counts_.requests;
            json["answered"] = counts_.answered;
            json["refused"] = counts_.refused;
            json["not_run"] = counts_.notRun;
            json["unknown"] = counts_.unknown;
            json["wrong_answers"] = counts_.wrongAnswers;
            json["feeds_opened"] = counts_.feedsOpened;
            json["feeds_ended"] = counts_.feedsEnded;
            json["feed_messages"] = counts_.feedMessages;
            json["feed_gaps"] = counts_.feedGaps;
            json["not_established"] = counts_.notEstablished;
            json["retransmissions"] = counts_.retransmissions;
            json["open"] = openFlows();
            json["done"] = isDone();
            return json;
        }

        [[nodiscard]] std::size_t openFlows() const
        {
            std::size_t const tcp = static_cast<std::size_t>(std::count_if(flows_.begin(), flows_.end(), [](std::pair<std::uint16_t const, Flow> const& item) { return !item.second.ended; }));
            return tcp + static_cast<std::size_t>(std::count_if(udpFlows_.begin(), udpFlows_.end(), [](std::pair<std::uint16_t const, UdpFlow> const& item) { return !item.second.ended; }));
        }

        [[nodiscard]] bool isDone() const
        {
            bool const started = startedRequests_ >= FLAGS_requests && startedUdp_ >= FLAGS_udp_requests && startedFeeds_ >= FLAGS_feeds && startedUploads_ >= FLAGS_uploads;
            return started && retries_.empty() && openFlows() == 0;
        }

        HttpAnswer answer(HttpRequest const& request)
        {
            if (request.path != "/flows")
                return jsonAnswer(counts());
            nlohmann::json list = nlohmann::json::array();
            for (std::pair<std::uint16_t const, Flow> const& item : flows_) {
                if (!item.second.ended)
                    list.push_back({ { "id", item.second.id }, { "port", item.first }, { "established", item.second.tcp->isEstablished() }, { "messages", item.second.messages } });
            }
            return jsonAnswer(list);
        }

        void send(Bytes const& packet)
        {
            socket_.send(fabric_, std::as_bytes(std::span(packet)));
        }

        std::uint16_t takePort()
        {
            do {
                nextPort_ = nextPort_ >= lastPort ? firstPort : static_cast<std::uint16_t>(nextPort_ + 1);
            } while (flows_.contains(nextPort_) || udpFlows_.contains(nextPort_));
            return nextPort_;
        }

        void openFlow(Kind kind, std::string const& id, int refusals, TimePoint now)
        {
            std::uint16_t const port = takePort();
            Flow& flow = flows_[port];
            flow.kind = kind;
            flow.id = id;
            flow.refusals = refusals;
            flow.opened = now;
            flow.lastMessage = now;
            flow.tcp = std::make_unique<MiniTcp>(Endpoint { source_, port }, tcpService_.endpoint, static_cast<std::uint32_t>(random_()), [this](Bytes const& packet) { send(packet); });
            flow.tcp->open(now);
        }

        void openUdp(std::string const& id, int refusals, TimePoint now)
        {
            std::uint16_t const port = takePort();
            UdpFlow& flow = udpFlows_[port];
            flow.id = id;
            flow.local = { source_, port };
            flow.refusals = refusals;
            sendUdp(flow, now);
        }

        void sendUdp(UdpFlow& flow, TimePoint now)
        {
            ++flow.tries;
            flow.lastSent = now;
            send(makeUdpPacket(flow.local, udpService_.endpoint, "REQ " + udpService_.name + ' ' + flow.id));
        }

        void receive(std::span<std::byte const> bytes)
        {
            try {
                Tins::IP const ip(reinterpret_cast<std::uint8_t const*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
                TimePoint const now = std::chrono::steady_clock::now();
                if (Tins::TCP const* const tcp = ip.find_pdu<Tins::TCP>())
                    receiveTcp(*tcp, now);
                else if (Tins::UDP const* const udp = ip.find_pdu<Tins::UDP>())
                    receiveUdp(*udp);
                else if (Tins::ICMP const* const icmp = ip.find_pdu<Tins::ICMP>())
                    receiveIcmp(*icmp, now);
            } catch (Tins::exception_base const&) {
                logEvent(LogLevel::Warning, "malformed_packet", { { "bytes", bytes.size() } });
            }
        }

        void receiveTcp(Tins::TCP const& tcp, TimePoint now)
        {
            std::map<std::uint16_t, Flow>::iterator const found = flows_.find(tcp.dport());
            if (found == flows_.end())
                return;
            Flow& flow = found->second;
            bool const wasEstablished = flow.tcp->isEstablished();
            flow.tcp->receive(tcp, now);
            if (flow.tcp->isEstablished() && !wasEstablished)
                established(flow, now);
            readInput(flow, now);
        }

        void established(Flow& flow, TimePoint now)
        {
            ++counts_.flows;
            flow.requested = true;
            flow.lastMessage = now;
            if (flow.kind == Kind::Request)
                flow.tcp->write("REQ " + tcpService_.name + ' ' + flow.id + '\n', now);
            else if (flow.kind == Kind::Feed)
                flow.tcp->write("FEED " + tcpService_.name + ' ' + flow.id + '\n', now);
            else
                flow.tcp->write("UP " + tcpService_.name + ' ' + flow.id + ' ' + std::to_string(FLAGS_upload_bytes) + '\n' + std::string(static_cast<std::size_t>(FLAGS_upload_bytes), 'x'), now);
            counts_.feedsOpened += flow.kind == Kind::Feed ? 1 : 0;
        }

        void readInput(Flow& flow, TimePoint now)
        {
            std::string& input = flow.tcp->input();
            for (std::size_t end = input.find('\n'); end != std::string::npos; end = input.find('\n')) {
                readLine(flow, splitList(input.substr(0, end), ' '), now);
                input.erase(0, end + 1);
            }
        }

        void readLine(Flow& flow, std::vector<std::string> const& words, TimePoint now)
        {
            if (words.size() == 2 && words[0] == "MSG" && flow.kind == Kind::Feed) {
                flow.lastMessage = now;
                ++flow.messages;
                ++counts_.feedMessages;
                counts_.feedGaps += words[1] == std::to_string(flow.messages) ? 0 : 1;
            } else if (words.size() == 3 && words[0] == "ANS" && words[1] == flow.id && !flow.answered) {
                flow.answered = true;
                ++counts_.answered;
                flow.tcp->close(now);
            } else {
                ++counts_.wrongAnswers;
            }
        }

        void receiveUdp(Tins::UDP const& udp)
        {
            std::map<std::uint16_t, UdpFlow>::iterator const found = udpFlows_.find(udp.dport());
            Tins::RawPDU const* const raw = udp.find_pdu<Tins::RawPDU>();
            if (found == udpFlows_.end() || raw == nullptr || found->second.ended)
                return;
            std::vector<std::string> const words = splitList(std::string(raw->payload().begin(), raw->payload().end()), ' ');
            if (words.size() != 3 || words[0] != "ANS" || words[1] != found->second.id) {
                ++counts_.wrongAnswers;
                return;
            }
            ++counts_.answered;
            found->second.ended = true;
        }

        void receiveIcmp(Tins::ICMP const& icmp, TimePoint now)
        {
            Tins::RawPDU const* const raw = icmp.find_pdu<Tins::RawPDU>();
            if (raw == nullptr || icmp.type() != Tins::ICMP::DEST_UNREACHABLE)
                return;
            constexpr std::size_t portOffset = 20;
            std::vector<std::uint8_t> const& quoted = raw->payload();
            if (quoted.size() < portOffset + 2)
                return;
            std::uint16_t const port = static_cast<std::uint16_t>((quoted[portOffset] << 8U) | quoted[portOffset + 1]);
            std::map<std::uint16_t, UdpFlow>::iterator const found = udpFlows_.find(port);
            if (found == udpFlows_.end() || found->second.ended)
                return;
            found->second.ended = true;
            refused({ now + refusalPause, Kind::Request, found->second.id, found->second.refusals + 1, true });
        }

        // A refusal says that nothing ran, so the same request may be sent again.
        void refused(Retry const& retry)
        {
            ++counts_.refused;
            if (retry.refusals <= FLAGS_refusal_tries)
                retries_.push_back(retry);
            else
                ++counts_.notRun;
        }

        void tick(TimePoint now)
        {
            startFlows(now);
            startRetries(now);
            for (std::pair<std::uint16_t const, Flow>& item : flows_)
                tickFlow(item.second, now);
            std::erase_if(flows_, [now](std::pair<std::uint16_t const, Flow> const& item) { return item.second.ended && now - item.second.endedAt > lateTime; });
            for (std::pair<std::uint16_t const, UdpFlow>& item : udpFlows_)
                tickUdp(item.second, now);
            if (isDone() && !reported_) {
                reported_ = true;
                printSummary("caller_done", counts());
            }
        }

        void startFlows(TimePoint now)
        {
            double const seconds = std::chrono::duration<double>(now - started_).count();
            int const due = static_cast<int>(seconds * FLAGS_request_rate) + 1;
            for (; startedRequests_ < std::min(due, FLAGS_requests); ++startedRequests_) {
                ++counts_.requests;
                openFlow(Kind::Request, FLAGS_prefix + "-q" + std::to_string(startedRequests_), 0, now);
            }
            for (; startedUdp_ < std::min(due, FLAGS_udp_requests); ++startedUdp_) {
                ++counts_.requests;
                openUdp(FLAGS_prefix + "-u" + std::to_string(startedUdp_), 0, now);
            }
            for (; startedFeeds_ < std::min(due, FLAGS_feeds); ++startedFeeds_)
                openFlow(Kind::Feed, FLAGS_prefix + "-f" + std::to_string(startedFeeds_), 0, now);
            for (; startedUploads_ < std::min(static_cast<int>(seconds) + 1, FLAGS_uploads); ++startedUploads_) {
                ++counts_.requests;
                openFlow(Kind::Upload, FLAGS_prefix + "-p" + std::to_string(startedUploads_), 0, now);
            }
        }

        void startRetries(TimePoint now)
        {
            std::vector<Retry> const pending = std::exchange(retries_, {});
            for (Retry const& retry : pending) {
                if (retry.when > now)
                    retries_.push_back(retry);
                else if (retry.udp)
                    openUdp(retry.id, retry.refusals, now);
                else
                    openFlow(retry.kind, retry.id, retry.refusals, now);
            }
        }

        void tickFlow(Flow& flow, TimePoint now)
        {
            if (flow.ended)
                return;
            flow.tcp->tick(now);
            bool const feedOver = flow.kind == Kind::Feed && flow.requested && now - flow.opened > std::chrono::seconds(FLAGS_feed_seconds);
            if (feedOver)
                flow.tcp->close(now);
            TcpEnd const end = flow.tcp->end();
            bool const silentFeed = flow.kind == Kind::Feed && flow.requested && !feedOver && now - flow.lastMessage > feedSilence;
            bool const late = flow.kind != Kind::Feed && !flow.answered && now - flow.opened > answerLimit;
            if (end != TcpEnd::Open || silentFeed || late)
                finish(flow, end, now);
        }

        void finish(Flow& flow, TcpEnd end, TimePoint now)
        {
            flow.ended = true;
            flow.endedAt = now;
            counts_.retransmissions += flow.tcp->retransmissions();
            if (end == TcpEnd::Refused) {
                refused({ now + refusalPause, flow.kind, flow.id, flow.refusals + 1, false });
                return;
            }
            bool const good = end == TcpEnd::Finished && (flow.answered || (flow.kind == Kind::Feed && flow.messages > 0));
            counts_.feedsEnded += good && flow.kind == Kind::Feed ? 1 : 0;
            if (flow.kind != Kind::Feed && !flow.answered)
                ++counts_.unknown;
            if (good || (flow.answered && end != TcpEnd::Reset))
                return;
            counts_.broken += flow.requested ? 1 : 0;
            counts_.notEstablished += flow.requested ? 0 : 1;
            logEvent(LogLevel::Warning, "flow_lost", { { "id", flow.id }, { "port", flow.tcp->local().port }, { "end", static_cast<int>(end) }, { "established", flow.requested }, { "answered", flow.answered }, { "messages", flow.messages } });
        }

        void tickUdp(UdpFlow& flow, TimePoint now)
        {
            if (flow.ended || now - flow.lastSent < udpTimeout)
                return;
            if (flow.tries < udpTries) {
                sendUdp(flow, now);
                return;
            }
            flow.ended = true;
            ++counts_.unknown;
        }
    };

} // namespace

} // namespace plantaindrift::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    plantaindrift::startLog(plantaindrift::LogLevel::Info, "");
    plantaindrift::standins::Caller().run();
    return 0;
}
