#include "runtime/FlowSource.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/HttpClient.h"

#include <bit>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace plantaindrift {

namespace {

    // States of include/net/tcp_states.h in which a socket has no established flow.
    constexpr std::uint32_t synSent = 2;
    constexpr std::uint32_t timeWait = 6;
    constexpr std::uint32_t closed = 7;
    constexpr std::uint32_t listening = 10;

    std::optional<std::uint32_t> parseHex(std::string_view text)
    {
        std::uint32_t value = 0;
        std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::uint32_t toHostOrder(std::uint32_t value) noexcept
    {
        // The kernel prints the address, which is in network byte order, as a number in host byte order.
        if constexpr (std::endian::native == std::endian::little)
            return __builtin_bswap32(value);
        return value;
    }

    std::optional<Endpoint> parseTableEndpoint(std::string_view text)
    {
        std::size_t const colon = text.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        std::optional<std::uint32_t> const address = parseHex(text.substr(0, colon));
        std::optional<std::uint32_t> const port = parseHex(text.substr(colon + 1));
        if (!address || !port)
            return std::nullopt;
        return Endpoint { toHostOrder(*address), static_cast<std::uint16_t>(*port) };
    }

    bool isOpenState(std::uint32_t state) noexcept
    {
        return state != synSent && state != timeWait && state != closed && state != listening;
    }

    class HttpFlowSource final : public FlowSource {
    public:
        HttpFlowSource(std::string url, std::chrono::milliseconds timeout)
            : url_(std::move(url))
            , timeout_(timeout)
        {
        }

        [[nodiscard]] absl::StatusOr<std::vector<FlowKey>> list() override
        {
            absl::StatusOr<HttpResult> const result = sendHttp("GET", url_, "", timeout_);
            if (!result.ok())
                return result.status();
            if (result->status != 200)
                return makeError(ErrorKind::Refused, url_ + " answered status " + std::to_string(result->status) + "; check the target");
            return parseFlowList(result->body);
        }

    private:
        std::string url_;
        std::chrono::milliseconds timeout_;
    };

    class KernelFlowSource final : public FlowSource {
    public:
        explicit KernelFlowSource(std::string file)
            : file_(std::move(file))
        {
        }

        [[nodiscard]] absl::StatusOr<std::vector<FlowKey>> list() override
        {
            std::ifstream stream(file_);
            if (!stream)
                return makeError(ErrorKind::NotFound, file_ + " cannot be read; run on Linux with /proc mounted, or use target.flows = \"http\"");
            std::ostringstream text;
            text << stream.rdbuf();
            return parseSocketTable(text.str());
        }

    private:
        std::string file_;
    };

} // namespace

std::unique_ptr<FlowSource> makeHttpFlowSource(std::string const& url, std::chrono::milliseconds timeout)
{
    return std::make_unique<HttpFlowSource>(url, timeout);
}

std::unique_ptr<FlowSource> makeKernelFlowSource(std::string const& file)
{
    return std::make_unique<KernelFlowSource>(file);
}

absl::StatusOr<std::vector<FlowKey>> parseFlowList(std::string_view json)
{
    std::vector<FlowKey> flows;
    try {
        for (nlohmann::json const& element : nlohmann::json::parse(json)) {
            std::optional<Endpoint> const source = parseEndpoint(element.at("source").get<std::string>());
            std::optional<Endpoint> const destination = parseEndpoint(element.at("destination").get<std::string>());
            std::string const protocol = element.at("protocol").get<std::string>();
            if (!source || !destination || (protocol != "tcp" && protocol != "udp"))
                return makeError(ErrorKind::InvalidMessage, "list of flows: an address or protocol is invalid; correct the target's endpoint");
            flows.push_back({ *source, *destination, protocol == "tcp" ? Protocol::Tcp : Protocol::Udp });
        }
    } catch (nlohmann::json::exception const& error) {
        return makeError(ErrorKind::InvalidMessage, std::string("list of flows: ") + error.what() + "; correct the target's endpoint");
    }
    return flows;
}

std::vector<FlowKey> parseSocketTable(std::string_view table)
{
    std::vector<FlowKey> flows;
    std::istringstream lines { std::string(table) };
    std::string line;
    while (std::getline(lines, line)) {
        std::istringstream words(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        words >> slot >> local >> remote >> state;
        std::optional<Endpoint> const destination = parseTableEndpoint(local);
        std::optional<Endpoint> const source = parseTableEndpoint(remote);
        std::optional<std::uint32_t> const number = parseHex(state);
        if (destination && source && number && isOpenState(*number))
            flows.push_back({ *source, *destination, Protocol::Tcp });
    }
    return flows;
}

} // namespace plantaindrift
