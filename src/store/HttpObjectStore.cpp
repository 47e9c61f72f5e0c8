#include "plantaindrift/store/HttpObjectStore.h"

#include "configuration/JsonObject.h"
#include "plantaindrift/base/Error.h"
#include "store/CircuitBreaker.h"

#include <charconv>
#include <curl/curl.h>
#include <limits>
#include <optional>
#include <thread>

namespace plantaindrift {

namespace {

    constexpr std::size_t longestValue = 1'048'576;
    // A list escapes its values, which can make them up to 6 times longer.
    constexpr std::size_t longestAnswer = 64 * longestValue;
    constexpr NumberRange versionRange { 1, std::numeric_limits<std::uint64_t>::max() };
    constexpr std::size_t mostListed = 100'000;
    constexpr std::size_t longestKey = 512;

    struct Request {
        std::string_view method;
        std::string target; ///< path and query
        std::string_view body;
        std::string condition; ///< header line; empty for none
        std::chrono::milliseconds timeout { 0 };
        bool isWrite { false };
        bool retryTimeouts { true };
    };

    struct Answer {
        long status { 0 };
        std::string body;
        std::optional<std::uint64_t> version;
        bool tooLong { false };
    };

    enum class Effect {
        Done, ///< the platform answered
        None, ///< the call surely had no effect
        Unknown ///< the call may have taken effect
    };

    struct Attempt {
        Effect effect { Effect::None };
        bool timedOut { false };
        std::string problem;
        Answer answer;
    };

    struct EasyDeleter {
        void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
    };

    struct ListDeleter {
        void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
    };

    using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
    using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

    void initialiseCurl()
    {
        static CURLcode const once = curl_global_init(CURL_GLOBAL_DEFAULT);
        (void)once;
    }

    std::optional<std::uint64_t> parseVersion(std::string_view text)
    {
        std::uint64_t version = 0;
        std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), version);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size() || version == 0)
            return std::nullopt;
        return version;
    }

    // Reads a header line `ETag: "7"`.
    void takeHeader(std::string_view line, Answer& answer)
    {
        constexpr std::string_view name = "etag:";
        bool const isEtag = line.size() > name.size() && curl_strnequal(line.data(), name.data(), name.size()) != 0;
        if (!isEtag)
            return;
        std::size_t const first = line.find('"');
        std::size_t const last = line.rfind('"');
        if (first != std::string_view::npos && last > first)
            answer.version = parseVersion(line.substr(first + 1, last - first - 1));
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user)
    {
        takeHeader({ data, size * count }, *static_cast<Answer*>(user));
        return size * count;
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
    {
        Answer& answer = *static_cast<Answer*>(user);
        if (answer.body.size() + (size * count) > longestAnswer) {
            answer.tooLong = true;
            return 0;
        }
        answer.body.append(data, size * count);
        return size * count;
    }

    bool isKeyCharacter(char character) noexcept
    {
        return isName(std::string_view(&character, 1)) || character == '.' || character == '_' || character == '-' || character == '/';
    }

    // Escapes what is not a letter, a digit or one of "._-/".
    std::string escapeKey(std::string_view key)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        constexpr unsigned lowBits = 4;
        constexpr unsigned lowMask = 15;
        std::string escaped;
        for (char const character : key) {
            if (isKeyCharacter(character)) {
                escaped += character;
                continue;
            }
            unsigned const byte = static_cast<unsigned char>(character);
            escaped += '%';
            escaped += digits[byte >> lowBits];
            escaped += digits[byte & lowMask];
        }
        return escaped;
    }

    std::string conditionOf(std::uint64_t version)
    {
        return "If-Match: \"" + std::to_string(version) + '"';
    }

    absl::StatusOr<std::vector<StoredObject>> decodeObjects(std::string const& body)
    {
        absl::StatusOr<nlohmann::json> const value = parseJson(body, longestAnswer);
        if (!value.ok())
            return value.status();
        absl::Status error;
        JsonObject document(*value, {}, error);
        std::vector<StoredObject> objects;
        std::vector<nlohmann::json> const& list = document.takeArray("objects", mostListed);
        for (std::size_t index = 0; index < list.size() && error.ok(); ++index) {
            JsonObject object(list[index], "objects[" + std::to_string(index) + ']', error);
            StoredObject stored;
            stored.key = object.takeText("key", longestKey);
            stored.version = object.takeNumber("version", versionRange);
            nlohmann::json const* const content = object.takeOptional("value");
            if (content == nullptr || !content->is_string())
                object.fail("value", "is not a text", "repair the platform's answer");
            else
                stored.value = content->get<std::string>();
            objects.push_back(std::move(stored));
        }
        if (!error.ok())
            return error;
        return objects;
    }

    // Failures before the request left this machine have no effect on the platform.
    bool isBeforeRequest(CURLcode code) noexcept
    {
        switch (code) {
        case CURLE_COULDNT_RESOLVE_HOST:
        case CURLE_COULDNT_CONNECT:
        case CURLE_SSL_CONNECT_ERROR:
        case CURLE_PEER_FAILED_VERIFICATION:
        case CURLE_SSL_CACERT_BADFILE:
        case CURLE_URL_MALFORMAT:
        case CURLE_UNSUPPORTED_PROTOCOL:
        case CURLE_OUT_OF_MEMORY:
            return true;
        default:
            return false;
        }
    }

    // The platform answers 429 and 503 before it does anything; other server errors can follow an effect.
    Effect effectOfStatus(long status) noexcept
    {
        constexpr long tooManyRequests = 429;
        constexpr long serviceUnavailable = 503;
        constexpr long firstServerError = 500;
        if (status == tooManyRequests || status == serviceUnavailable)
            return Effect::None;
        return status >= firstServerError ? Effect::Unknown : Effect::Done;
    }

    class HttpObjectStore final : public ObjectStore {
    public:
        explicit HttpObjectStore(HttpObjectStoreOptions options)
            : options_(std::move(options))
            , backoff_(options_.firstBackoff, options_.longestBackoff, options_.randomSeed)
            , breaker_(options_.firstBackoff, options_.longestBackoff, options_.randomSeed + 1)
            , settings_(checkSettings())
        {
            initialiseCurl();
            handle_.reset(curl_easy_init());
        }

        absl::StatusOr<StoredObject> get(std::string_view key) override
        {
            absl::StatusOr<Answer> answer = perform(read("/v1/objects/" + escapeKey(key)), key);
            if (!answer.ok())
                return answer.status();
            if (!answer->version)
                return makeError(ErrorKind::InvalidMessage, "the platform's answer for " + std::string(key) + " has no version; check that the address is the platform's");
            return StoredObject { std::string(key), std::move(answer->body), *answer->version };
        }

        absl::StatusOr<std::uint64_t> create(std::string_view key, std::string_view value) override
        {
            return write("PUT", key, value, "If-None-Match: *");
        }

        absl::StatusOr<std::uint64_t> update(std::string_view key, std::string_view value, std::uint64_t version) override
        {
            return write("PUT", key, value, conditionOf(version));
        }

        absl::Status remove(std::string_view key, std::uint64_t version) override
        {
            return perform(writeRequest("DELETE", key, {}, conditionOf(version)), key).status();
        }

        absl::StatusOr<std::vector<StoredObject>> list(std::string_view prefix, std::string_view after, std::size_t limit) override
        {
            return readObjects(read("/v1/objects?prefix=" + escapeKey(prefix) + "&after=" + escapeKey(after) + "&limit=" + std::to_string(limit)), prefix);
        }

        absl::StatusOr<std::vector<StoredObject>> watch(std::string_view prefix, std::uint64_t afterVersion, std::chrono::milliseconds timeout) override
        {
            Request request = read("/v1/watch?prefix=" + escapeKey(prefix) + "&after=" + std::to_string(afterVersion) + "&timeout_ms=" + std::to_string(timeout.count()));
            request.timeout += timeout;
            request.retryTimeouts = false;
            return readObjects(request, prefix);
        }

    private:
        absl::Status checkSettings() const
        {
            constexpr std::string_view plain = "http://";
            constexpr std::string_view secure = "https://";
            std::string_view const url = options_.url;
            bool const isSecure = url.starts_with(secure);
            std::string_view const rest = isSecure ? url.substr(secure.size()) : url.substr(url.starts_with(plain) ? plain.size() : 0);
            if (rest.size() == url.size() || !parseEndpoint(rest))
                return makeError(ErrorKind::InvalidSettings, "platform url is not valid; use http://A.B.C.D:PORT or https://A.B.C.D:PORT");
            if (isSecure && options_.certificateAuthorityFile.empty())
                return makeError(ErrorKind::InvalidSettings, "platform url is https but no certificate authority file is set; name a PEM file");
            return absl::OkStatus();
        }

        [[nodiscard]] Request read(std::string target) const
        {
            Request request;
            request.method = "GET";
            request.target = std::move(target);
            request.timeout = options_.timeout;
            return request;
        }

        [[nodiscard]] Request writeRequest(std::string_view method, std::string_view key, std::string_view value, std::string condition) const
        {
            Request request = read("/v1/objects/" + escapeKey(key));
            request.method = method;
            request.body = value;
            request.condition = std::move(condition);
            request.isWrite = true;
            return request;
        }

        absl::StatusOr<std::uint64_t> write(std::string_view method, std::string_view key, std::string_view value, std::string condition)
        {
            if (value.size() > longestValue)
                return makeError(ErrorKind::Refused, "object " + std::string(key) + " has " + std::to_string(value.size()) + " bytes; the platform holds at most " + std::to_string(longestValue));
            absl::StatusOr<Answer> const answer = perform(writeRequest(method, key, value, std::move(condition)), key);
            if (!answer.ok())
                return answer.status();
            if (!answer->version)
                return makeError(ErrorKind::OutcomeUnknown, "the platform's answer to a write of " + std::string(key) + " has no version; read the object before writing again");
            return *answer->version;
        }

        absl::StatusOr<std::vector<StoredObject>> readObjects(Request const& request, std::string_view prefix)
        {
            absl::StatusOr<Answer> const answer = perform(request, prefix);
            if (!answer.ok())
                return answer.status();
            return decodeObjects(answer->body);
        }

        absl::StatusOr<Answer> perform(Request const& request, std::string_view key)
        {
            if (!settings_.ok())
                return settings_;
            if (!breaker_.allows(std::chrono::steady_clock::now()))
                return unreachable("it failed " + std::to_string(CircuitBreaker::threshold) + " times in a row and is not called for a while");
            // While the breaker is open, the one call that it lets through is a trial without retries.
            int const attempts = breaker_.isOpen() ? 1 : std::max(1, options_.attempts);
            Attempt attempt;
            for (int count = 0; count < attempts; ++count) {
                if (count > 0)
                    std::this_thread::sleep_for(backoff_.wait(count - 1));
                attempt = performOnce(request);
                recordResult(attempt);
                if (!isRetried(request, attempt))
                    break;
            }
            return toResult(request, std::move(attempt), key);
        }

        void recordResult(Attempt const& attempt)
        {
            if (attempt.effect == Effect::Done)
                breaker_.recordSuccess();
            else
                breaker_.recordFailure(std::chrono::steady_clock::now());
        }

        static bool isRetried(Request const& request, Attempt const& attempt)
        {
            if (attempt.effect == Effect::Done || attempt.answer.tooLong)
                return false;
            if (attempt.effect == Effect::Unknown && request.isWrite)
                return false;
            return !attempt.timedOut || request.retryTimeouts;
        }

        absl::Status unreachable(std::string const& problem) const
        {
            return makeError(ErrorKind::PlatformUnreachable, "platform " + options_.url + ": " + problem + "; check that it runs and that the address is right, then try again");
        }

        absl::StatusOr<Answer> toResult(Request const& request, Attempt attempt, std::string_view key) const
        {
            std::string const name(key);
            if (attempt.answer.tooLong)
                return makeError(ErrorKind::InvalidMessage, "the answer for " + name + " is longer than " + std::to_string(longestAnswer) + " bytes; ask for fewer objects");
            if (attempt.effect == Effect::Unknown && request.isWrite)
                return makeError(ErrorKind::OutcomeUnknown, "the write of " + name + " may have taken effect (" + attempt.problem + "); read the object before writing again");
            if (attempt.effect != Effect::Done)
                return unreachable(attempt.problem);
            switch (attempt.answer.status) {
            case 200:
            case 201:
            case 204:
                return std::move(attempt.answer);
            case 404:
                return makeError(ErrorKind::NotFound, "object " + name + " does not exist; check its name");
            case 409:
            case 412:
                return makeError(ErrorKind::LostRace, "object " + name + " was changed by someone else; read it and try again");
            case 401:
            case 403:
                return makeError(ErrorKind::Unauthenticated, "the platform does not allow access to " + name + "; check the credentials");
            case 413:
                return makeError(ErrorKind::Refused, "the platform refuses object " + name + " as too large; make it smaller");
            default:
                return makeError(ErrorKind::InvalidMessage, "the platform answered status " + std::to_string(attempt.answer.status) + " for " + name + "; check that the address is the platform's");
            }
        }

        Attempt performOnce(Request const& request)
        {
            Attempt attempt;
            if (!handle_) {
                attempt.problem = "libcurl has no memory";
                return attempt;
            }
            curl_easy_reset(handle_.get());
            HeaderList const headers = setOptions(request, attempt.answer);
            CURLcode const code = curl_easy_perform(handle_.get());
            curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &attempt.answer.status);
            if (code == CURLE_OK) {
                attempt.effect = effectOfStatus(attempt.answer.status);
                attempt.problem = "status " + std::to_string(attempt.answer.status);
                return attempt;
            }
            attempt.timedOut = code == CURLE_OPERATION_TIMEDOUT;
            attempt.problem = curl_easy_strerror(code);
            attempt.effect = isBeforeRequest(code) || !isRequestSent() ? Effect::None : Effect::Unknown;
            return attempt;
        }

        // True if any byte of the request may have left; a timeout before that has no effect.
        [[nodiscard]] bool isRequestSent() const
        {
            long sent = 0;
            curl_easy_getinfo(handle_.get(), CURLINFO_REQUEST_SIZE, &sent);
            return sent > 0;
        }

        HeaderList setOptions(Request const& request, Answer& answer)
        {
            CURL* const handle = handle_.get();
            std::string const url = options_.url + request.target;
            curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
            curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
            // An answer that a server repeats late would be taken for that to the next request on the connection.
            curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
            curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
            // The platform is reached by its address; a proxy from the environment would only add a fault.
            curl_easy_setopt(handle, CURLOPT_PROXY, "");
            curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
            curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(options_.timeout.count()));
            if (!options_.certificateAuthorityFile.empty())
                curl_easy_setopt(handle, CURLOPT_CAINFO, options_.certificateAuthorityFile.c_str());
            curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, onHeader);
            curl_easy_setopt(handle, CURLOPT_HEADERDATA, &answer);
            curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
            curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer);
            HeaderList headers(curl_slist_append(nullptr, "Content-Type: application/json"));
            headers.reset(curl_slist_append(headers.release(), "Expect:"));
            if (!request.condition.empty())
                headers.reset(curl_slist_append(headers.release(), request.condition.c_str()));
            if (request.isWrite)
                setWriteOptions(request);
            curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
            return headers;
        }

        void setWriteOptions(Request const& request)
        {
            CURL* const handle = handle_.get();
            std::string const method(request.method);
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data() == nullptr ? "" : request.body.data());
            // libcurl silently repeats a request whose reused connection closes without an answer, which would
            // repeat a write that may have taken effect. It never does so on a new connection.
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        }

        HttpObjectStoreOptions options_;
        Backoff backoff_;
        CircuitBreaker breaker_;
        absl::Status settings_;
        EasyHandle handle_;
    };

} // namespace

std::unique_ptr<ObjectStore> makeHttpObjectStore(HttpObjectStoreOptions const& options)
{
    return std::make_unique<HttpObjectStore>(options);
}

} // namespace plantaindrift
