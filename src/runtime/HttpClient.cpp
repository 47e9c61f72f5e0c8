#include "plantaindrift/runtime/HttpClient.h"

#include "plantaindrift/base/Error.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <curl/curl.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace plantaindrift {

namespace {

    // A response while it arrives, and what ends it early.
    struct Transfer {
        HttpResult result;
        std::atomic<bool> const* cancelled { nullptr };
        std::chrono::seconds stallTimeout { 0 };
        std::optional<std::chrono::steady_clock::time_point> lastArrival; // unset until connected

        void recordArrival() noexcept { lastArrival = std::chrono::steady_clock::now(); }

        [[nodiscard]] bool isCancelled() const noexcept { return cancelled != nullptr && cancelled->load(); }

        // CURLOPT_LOW_SPEED_TIME compares an average that libcurl renews once a second, which ends responses that still arrive.
        [[nodiscard]] bool hasStalled() const noexcept
        {
            return stallTimeout > std::chrono::seconds::zero() && lastArrival && std::chrono::steady_clock::now() - *lastArrival >= stallTimeout;
        }
    };

    // Any other result than the number of bytes makes libcurl end the request.
    std::size_t appendBody(char* bytes, std::size_t size, std::size_t count, void* output)
    {
        Transfer& transfer = *static_cast<Transfer*>(output);
        std::string& body = transfer.result.body;
        if (size * count > maximumResponseBytes - body.size())
            return 0;
        transfer.recordArrival();
        body.append(bytes, size * count);
        return size * count;
    }

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view space = " \t\r\n";
        std::size_t const first = text.find_first_not_of(space);
        return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(space) - first + 1);
    }

    // Receives one header line at a time, and the status line.
    std::size_t appendHeader(char* bytes, std::size_t size, std::size_t count, void* output)
    {
        Transfer& transfer = *static_cast<Transfer*>(output);
        transfer.recordArrival();
        std::string_view const line(bytes, size * count);
        std::size_t const colon = line.find(':');
        if (colon == std::string_view::npos)
            return line.size();
        std::string name(trim(line.substr(0, colon)));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        transfer.result.headers.emplace_back(std::move(name), trim(line.substr(colon + 1)));
        return line.size();
    }

    // A connection may go silent without a reset, and a watch waits on it for many seconds. The peer's kernel answers probes
    // however slow its process is, so that a connection without answers for 3 s is lost.
    constexpr long keepaliveIdleSeconds = 1;
    constexpr long keepaliveIntervalSeconds = 1;
    constexpr int keepaliveProbes = 2;

    // libcurl has no option for the number of probes. A failure leaves the system's number.
    int limitKeepaliveProbes(void*, curl_socket_t socket, curlsocktype)
    {
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepaliveProbes, sizeof(keepaliveProbes));
        return CURL_SOCKOPT_OK;
    }

    int recordConnection(void* transfer, char*, char*, int, int)
    {
        static_cast<Transfer*>(transfer)->recordArrival();
        return CURL_PREREQFUNC_OK;
    }

    // Called when something arrives, and about once a second.
    int abortIfDue(void* output, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
    {
        Transfer const& transfer = *static_cast<Transfer const*>(output);
        return transfer.isCancelled() || transfer.hasStalled() ? 1 : 0;
    }

} // namespace

std::optional<std::string_view> HttpResult::header(std::string_view name) const
{
    auto const found = std::find_if(headers.begin(), headers.end(), [name](std::pair<std::string, std::string> const& one) { return one.first == name; });
    return found != headers.end() ? std::optional<std::string_view>(found->second) : std::nullopt;
}

struct HttpClient::State {
    struct Deleter {
        void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
    };
    std::unique_ptr<CURL, Deleter> handle;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers { nullptr, &curl_slist_free_all };
};

HttpClient::HttpClient()
    : state_(std::make_unique<State>())
{
    static CURLcode const initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initialized != CURLE_OK)
        return;
    state_->handle.reset(curl_easy_init());
    state_->headers.reset(curl_slist_append(nullptr, "Content-Type: application/json"));
}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResult> HttpClient::send(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout, std::atomic<bool> const* cancelled, std::chrono::seconds stall)
{
    CURL* const handle = state_->handle.get();
    if (handle == nullptr)
        return makeError(ErrorKind::Internal, "libcurl cannot be initialized; check the installation");
    Transfer transfer;
    transfer.cancelled = cancelled;
    transfer.stallTimeout = stall;
    curl_easy_reset(handle);
    // An answer that a server repeats late would be taken for that to the next request on the connection.
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
    // Timeouts by signals are unsafe in a multithreaded process.
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, keepaliveIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, keepaliveIntervalSeconds);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &limitKeepaliveProbes);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &appendHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &recordConnection);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, &abortIfDue);
    curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &transfer);
    if (method != "GET") {
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, state_->headers.get());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    CURLcode const code = curl_easy_perform(handle);
    bool const hasStalled = code == CURLE_ABORTED_BY_CALLBACK && !transfer.isCancelled();
    if (code == CURLE_OPERATION_TIMEDOUT || hasStalled)
        return makeError(ErrorKind::DeadlinePassed, url + " did not answer in time; check that the process runs and is not overloaded");
    if (code == CURLE_WRITE_ERROR)
        return makeError(ErrorKind::Refused, url + ": the response is longer than " + std::to_string(maximumResponseBytes) + " bytes; check the address");
    if (code != CURLE_OK)
        return makeError(ErrorKind::Refused, url + ": " + curl_easy_strerror(code) + "; check the address and that the process runs");
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &transfer.result.status);
    return std::move(transfer.result);
}

absl::StatusOr<HttpResult> sendHttp(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout)
{
    return HttpClient().send(method, url, body, timeout);
}

} // namespace plantaindrift
