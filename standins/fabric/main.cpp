// Stand-in for the network before the entries: sprays callers' packets over the entries that are ready, and carries
// answers back to callers.

#include "common/Process.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/runtime/HttpClient.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <atomic>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

DEFINE_string(caller_listen, "127.0.0.1:7000", "UDP endpoint for callers' IP packets");
DEFINE_string(return_listen, "127.0.0.1:7001", "UDP endpoint for Geneve from targets and agents");
DEFINE_string(http, "127.0.0.1:7002", "HTTP endpoint: GET /counts, PUT /entries");
DEFINE_string(entries, "", "entries as DATA/HTTP,...; an entry takes packets while GET HTTP/readyz answers 200");
DEFINE_double(loss, 0, "share of packets lost");
DEFINE_double(duplication, 0, "share of packets sent twice");
DEFINE_double(reordering, 0, "share of packets held back for 5 to 20 ms");
DEFINE_uint64(seed, 1, "seed of the random choices");

namespace plantaindrift::standins {

namespace {

    constexpr std::chrono::milliseconds readinessInterval { 100 };

    struct Entry {
        Endpoint data;
        std::string readyUrl;

        friend bool operator==(Entry const&, Entry const&) = default;
    };

    struct Counts {
        std::uint64_t toEntries { 0 };
        std::uint64_t toCallers { 0 };
        std::uint64_t lost { 0 };
        std::uint64_t duplicated { 0 };
        std::uint64_t reordered { 0 };
        std::uint64_t noEntry { 0 };
        std::uint64_t noCaller { 0 };
        std::uint64_t malformed { 0 };
    };

    std::vector<Entry> parseEntries(std::string const& text)
    {
        std::vector<Entry> entries;
        for (std::string const& part : splitList(text, ',')) {
            std::vector<std::string> const fields = splitList(part, '/');
            std::optional<Endpoint> const data = fields.size() == 2 ? parseEndpoint(fields[0]) : std::nullopt;
            if (data)
                entries.push_back({ *data, "http://" + fields[1] + "/readyz" });
        }
        return entries;
    }

    // Address of a field of an IPv4 header; 12 is the source, 16 the destination.
    std::uint32_t addressAt(std::span<std::byte const> packet, std::size_t offset)
    {
        std::uint32_t address = 0;
        for (std::size_t index = 0; index < 4; ++index)
            address = (address << 8U) | std::to_integer<std::uint32_t>(packet[offset + index]);
        return address;
    }

    bool isIpv4(std::span<std::byte const> packet)
    {
        constexpr std::size_t headerBytes = 20;
        return packet.size() >= headerBytes && (std::to_integer<unsigned>(packet[0]) >> 4U) == 4;
    }

    class Fabric {
    public:
        Fabric()
            : callers_(process_.loop)
            , returns_(process_.loop)
            , http_(process_.loop, requireEndpoint("http", FLAGS_http), [this](HttpRequest const& request) { return answer(request); })
            , random_(FLAGS_seed)
        {
            headerBytes_ = writePlainHeader(header_);
            entries_ = parseEntries(FLAGS_entries);
        }

        void run()
        {
            requireOk(callers_.start(requireEndpoint("caller_listen", FLAGS_caller_listen), [this](std::span<std::byte const> packet, Endpoint from) { fromCaller(packet, from); }));
            requireOk(returns_.start(requireEndpoint("return_listen", FLAGS_return_listen), [this](std::span<std::byte const> datagram, Endpoint) { fromTarget(datagram); }));
            requireOk(http_.start());
            std::thread readiness([this] { checkReadiness(); });
            process_.run(readinessInterval, [](TimePoint) {});
            stopping_ = true;
            readiness.join();
            printSummary("fabric_summary", counts());
        }

    private:
        Process process_;
        UdpSocket callers_;
        UdpSocket returns_;
        HttpServer http_;
        std::mt19937_64 random_;
        std::array<std::byte, maximumHeaderBytes> header_ {};
        std::size_t headerBytes_ { 0 };
        std::mutex mutex_;
        std::vector<Entry> entries_;
        std::vector<Endpoint> ready_;
        std::map<std::uint32_t, Endpoint> callerEndpoints_;
        std::atomic<bool> stopping_ { false };
        Counts counts_;

        [[nodiscard]] nlohmann::json counts() const
        {
            nlohmann::json json;
            json["to_entries"] = counts_.toEntries;
            json["to_callers"] = counts_.toCallers;
            json["lost"] = counts_.lost;
            json["duplicated"] = counts_.duplicated;
            json["reordered"] = counts_.reordered;
            json["no_entry"] = counts_.noEntry;
            json["no_caller"] = counts_.noCaller;
            json["malformed"] = counts_.malformed;
            json["ready_entries"] = ready_.size();
            return json;
        }

        HttpAnswer answer(HttpRequest const& request)
        {
            if (request.method == "PUT" && request.path == "/entries") {
                std::lock_guard<std::mutex> const lock(mutex_);
                entries_ = parseEntries(request.body);
                return { 200, std::to_string(entries_.size()) + " entries\n" };
            }
            return jsonAnswer(counts());
        }

        // Runs on a thread of its own, because the requests block.
        void checkReadiness()
        {
            while (!stopping_) {
                std::vector<Entry> entries;
                {
                    std::lock_guard<std::mutex> const lock(mutex_);
                    entries = entries_;
                }
                std::vector<Endpoint> ready;
                for (Entry const& entry : entries) {
                    absl::StatusOr<HttpResult> const result = sendHttp("GET", entry.readyUrl, "", std::chrono::milliseconds(300));
                    if (result.ok() && result->status == 200)
                        ready.push_back(entry.data);
                }
                asio::post(process_.loop, [this, ready] { setReady(ready); });
                std::this_thread::sleep_for(readinessInterval);
            }
        }

        void setReady(std::vector<Endpoint> const& ready)
        {
            if (ready == ready_)
                return;
            ready_ = ready;
            logEvent(LogLevel::Info, "fabric_entries", { { "ready", ready_.size() } });
        }

        bool happens(double share)
        {
            return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
        }

        void fromCaller(std::span<std::byte const> packet, Endpoint from)
        {
            if (!isIpv4(packet)) {
                ++counts_.malformed;
                return;
            }
            callerEndpoints_[addressAt(packet, 12)] = from;
            disturb(packet, [this](std::span<std::byte const> bytes) { toEntry(bytes); });
        }

        void toEntry(std::span<std::byte const> packet)
        {
            if (ready_.empty()) {
                ++counts_.noEntry;
                return;
            }
            std::size_t const chosen = std::uniform_int_distribution<std::size_t>(0, ready_.size() - 1)(random_);
            ++counts_.toEntries;
            callers_.send(ready_[chosen], std::span<std::byte const>(header_).first(headerBytes_), packet);
        }

        void fromTarget(std::span<std::byte const> datagram)
        {
            DecodedDatagram const decoded = decodePlain(datagram);
            if (decoded.error != DatagramError::None || !isIpv4(decoded.inner)) {
                ++counts_.malformed;
                return;
            }
            disturb(decoded.inner, [this](std::span<std::byte const> bytes) { toCaller(bytes); });
        }

        void toCaller(std::span<std::byte const> packet)
        {
            std::map<std::uint32_t, Endpoint>::const_iterator const caller = callerEndpoints_.find(addressAt(packet, 16));
            if (caller == callerEndpoints_.end()) {
                ++counts_.noCaller;
                return;
            }
            ++counts_.toCallers;
            callers_.send(caller->second, packet);
        }

        void disturb(std::span<std::byte const> packet, std::function<void(std::span<std::byte const>)> const& send)
        {
            if (happens(FLAGS_loss)) {
                ++counts_.lost;
                return;
            }
            if (happens(FLAGS_duplication)) {
                ++counts_.duplicated;
                send(packet);
            }
            if (happens(FLAGS_reordering))
                hold(packet, send);
            else
                send(packet);
        }

        void hold(std::span<std::byte const> packet, std::function<void(std::span<std::byte const>)> const& send)
        {
            ++counts_.reordered;
            std::shared_ptr<asio::steady_timer> const timer = std::make_shared<asio::steady_timer>(process_.loop);
            timer->expires_after(std::chrono::milliseconds(std::uniform_int_distribution<int>(5, 20)(random_)));
            timer->async_wait([timer, send, bytes = std::vector<std::byte>(packet.begin(), packet.end())](asio::error_code const&) { send(bytes); });
        }
    };

} // namespace

} // namespace plantaindrift::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    plantaindrift::startLog(plantaindrift::LogLevel::Info, "");
    plantaindrift::standins::Fabric().run();
    return 0;
}
