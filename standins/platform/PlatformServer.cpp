#include "platform/PlatformServer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace plantaindrift::standin {

namespace {

    constexpr std::size_t longestValue = 1'048'576;
    constexpr std::size_t longestTarget = 4'096;
    constexpr std::size_t mostListed = 1'000;
    constexpr std::chrono::milliseconds longestWatch { 60'000 };
    // Above the longest watch, so that a waiting watch is not cut off.
    constexpr std::chrono::seconds requestLimit { 90 };
    constexpr std::string_view objectsPath = "/v1/objects";

    struct StatusText {
        std::uint16_t code;
        char const* text;
    };

    constexpr std::array<StatusText, 9> statusTexts { {
        { 200, "OK" },
        { 201, "Created" },
        { 204, "No Content" },
        { 400, "Bad Request" },
        { 404, "Not Found" },
        { 412, "Precondition Failed" },
        { 413, "Payload Too Large" },
        { 428, "Precondition Required" },
        { 503, "Service Unavailable" },
    } };

    restinio::http_status_line_t statusLine(std::uint16_t code)
    {
        for (StatusText const& status : statusTexts) {
            if (status.code == code)
                return { restinio::http_status_code_t { code }, status.text };
        }
        return { restinio::http_status_code_t { code }, "Status" };
    }

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), number);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::string headerOf(restinio::request_handle_t const& request, char const* name)
    {
        std::string value;
        request->header().for_each_value_of(name, [&value](restinio::string_view_t text) {
            value.assign(text.data(), text.size());
            return restinio::http_header_fields_t::stop_enumeration();
        });
        return value;
    }

    std::string parameterOf(restinio::request_handle_t const& request, char const* name)
    {
        restinio::query_string_params_t const parameters = restinio::parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
        return parameters.has(name) ? std::string(parameters[name]) : std::string();
    }

    std::string pathOf(restinio::request_handle_t const& request)
    {
        restinio::string_view_t const path = request->header().path();
        return restinio::utils::unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>({ path.data(), path.size() });
    }

    // Reads the version of `If-Match: "7"`.
    std::optional<std::uint64_t> matchOf(restinio::request_handle_t const& request)
    {
        std::string const text = headerOf(request, "If-Match");
        if (text.size() < 3 || text.front() != '"' || text.back() != '"')
            return std::nullopt;
        return parseNumber(std::string_view(text).substr(1, text.size() - 2));
    }

    std::string printObjects(std::vector<StoredObject> const& objects)
    {
        nlohmann::json list = nlohmann::json::array();
        for (StoredObject const& object : objects)
            list.push_back({ { "key", object.key }, { "value", object.value }, { "version", object.version } });
        return nlohmann::json::object({ { "objects", std::move(list) } }).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::uint16_t statusOf(WriteResult result, std::uint16_t done)
    {
        constexpr std::uint16_t notFound = 404;
        constexpr std::uint16_t preconditionFailed = 412;
        if (result == WriteResult::Absent)
            return notFound;
        return result == WriteResult::ConditionFailed ? preconditionFailed : done;
    }

} // namespace

PlatformServer::PlatformServer(asio::io_context& context, Endpoint listen, std::function<void(std::uint16_t)> onListening)
    : context_(context)
    , onListening_(std::move(onListening))
{
    for (char const* const kind : { "get", "create", "update", "remove", "list", "watch" })
        counts_[kind] = 0;
    server_ = std::make_unique<Server>(restinio::external_io_context(context_), [this, listen](restinio::server_settings_t<Traits>& settings) {
        settings.address(formatAddress(listen.address)).port(listen.port);
        settings.handle_request_timeout(requestLimit).read_next_http_message_timelimit(requestLimit);
        settings.incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_url_size(longestTarget).max_body_size(longestValue));
        settings.acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); });
        settings.request_handler([this](Request const& request) { return handle(request); });
    });
}

void PlatformServer::start()
{
    // The hook after bind runs before listen, when connections are still refused, so it only keeps the port.
    server_->open_async([this] { onListening_(port_); }, [](std::exception_ptr const& problem) { std::rethrow_exception(problem); });
}

void PlatformServer::stop()
{
    context_.stop();
}

restinio::request_handling_status_t PlatformServer::handle(Request const& request)
{
    std::string const path = pathOf(request);
    if (path == "/faults")
        handleFaults(request);
    else if (path == "/counts")
        send(request, { 200, nlohmann::json(counts_).dump(), 0 });
    else if (path == "/v1/watch")
        handleWatch(request);
    else if (path.starts_with(objectsPath))
        handleObjects(request, path);
    else
        send(request, { 404, "unknown path; use /v1/objects, /v1/watch, /faults or /counts", 0 });
    return restinio::request_accepted();
}

void PlatformServer::handleFaults(Request const& request)
{
    nlohmann::json const body = nlohmann::json::parse(request->body(), nullptr, false);
    if (request->header().method() == restinio::http_method_post()) {
        if (!body.is_object()) {
            send(request, { 400, "not a JSON object; send {\"outage\": false, \"silent\": false, \"slow_ms\": 0, \"lost_answers\": 0}", 0 });
            return;
        }
        try {
            faults_.outage = body.value("outage", faults_.outage);
            faults_.silent = body.value("silent", faults_.silent);
            if (!faults_.silent)
                silenced_.clear();
            faults_.slowMilliseconds = body.value("slow_ms", faults_.slowMilliseconds);
            faults_.lostAnswers = body.value("lost_answers", faults_.lostAnswers);
        } catch (nlohmann::json::exception const&) {
            send(request, { 400, "wrong type; outage and silent are booleans, slow_ms and lost_answers are numbers", 0 });
            return;
        }
    }
    nlohmann::json const state { { "outage", faults_.outage }, { "silent", faults_.silent }, { "slow_ms", faults_.slowMilliseconds }, { "lost_answers", faults_.lostAnswers } };
    send(request, { 200, state.dump(), 0 });
}

void PlatformServer::handleObjects(Request const& request, std::string_view path)
{
    path.remove_prefix(objectsPath.size());
    bool const isRead = request->header().method() == restinio::http_method_get();
    if (path.empty() && isRead) {
        count("list");
        answer(request, list(request));
        return;
    }
    std::string const key(path.empty() ? path : path.substr(1));
    if (key.empty()) {
        send(request, { 400, "no key; use /v1/objects/KEY", 0 });
        return;
    }
    if (!isRead) {
        handleWrite(request, key);
        return;
    }
    count("get");
    answer(request, get(key));
}

void PlatformServer::handleWrite(Request const& request, std::string const& key)
{
    bool const isRemove = request->header().method() == restinio::http_method_delete();
    bool const isCreate = !isRemove && headerOf(request, "If-None-Match") == "*";
    if (isRemove)
        count("remove");
    else
        count(isCreate ? "create" : "update");
    if (faults_.outage || faults_.silent) {
        answer(request, {});
        return;
    }
    Reply reply = isRemove ? remove(request, key) : put(request, key);
    wakeWaiters();
    if (faults_.lostAnswers > 0) {
        // The connection closes when the unanswered request is released.
        --faults_.lostAnswers;
        return;
    }
    answer(request, std::move(reply));
}

PlatformServer::Reply PlatformServer::get(std::string const& key) const
{
    StoredObject const* const object = objects_.find(key);
    if (object == nullptr)
        return { 404, "no such object", 0 };
    return { 200, object->value, object->version };
}

PlatformServer::Reply PlatformServer::list(Request const& request) const
{
    std::size_t const limit = static_cast<std::size_t>(parseNumber(parameterOf(request, "limit")).value_or(mostListed));
    return { 200, printObjects(objects_.list(parameterOf(request, "prefix"), parameterOf(request, "after"), std::min(limit, mostListed))), 0 };
}

PlatformServer::Reply PlatformServer::put(Request const& request, std::string const& key)
{
    if (headerOf(request, "If-None-Match") == "*") {
        std::uint16_t const status = statusOf(objects_.create(key, request->body()), 201);
        return { status, {}, status == 201 ? objects_.version() : 0 };
    }
    std::optional<std::uint64_t> const version = matchOf(request);
    if (!version)
        return { 428, "no condition; send If-None-Match: * or If-Match: \"VERSION\"", 0 };
    std::uint16_t const status = statusOf(objects_.update(key, request->body(), *version), 200);
    return { status, {}, status == 200 ? objects_.version() : 0 };
}

PlatformServer::Reply PlatformServer::remove(Request const& request, std::string const& key)
{
    std::optional<std::uint64_t> const version = matchOf(request);
    if (!version)
        return { 428, "no condition; send If-Match: \"VERSION\"", 0 };
    return { statusOf(objects_.remove(key, *version), 204), {}, 0 };
}

void PlatformServer::handleWatch(Request const& request)
{
    count("watch");
    std::string const prefix = parameterOf(request, "prefix");
    std::uint64_t const after = parseNumber(parameterOf(request, "after")).value_or(0);
    std::vector<StoredObject> const changed = objects_.changedAfter(prefix, after, mostListed);
    if (!changed.empty() || faults_.outage || faults_.silent) {
        answer(request, { 200, printObjects(changed), 0 });
        return;
    }
    std::chrono::milliseconds const timeout(parseNumber(parameterOf(request, "timeout_ms")).value_or(0));
    std::list<Waiter>::iterator const waiter = waiters_.insert(waiters_.end(), Waiter { request, prefix, after, asio::steady_timer(context_) });
    waiter->timer.expires_after(std::min(timeout, longestWatch));
    waiter->timer.async_wait([this, waiter](asio::error_code const& error) {
        if (error)
            return;
        answer(waiter->request, { 200, printObjects({}), 0 });
        waiters_.erase(waiter);
    });
}

void PlatformServer::wakeWaiters()
{
    for (std::list<Waiter>::iterator waiter = waiters_.begin(); waiter != waiters_.end();) {
        std::vector<StoredObject> const changed = objects_.changedAfter(waiter->prefix, waiter->after, mostListed);
        // A timer that has already expired answers by itself; answering here as well would answer twice.
        bool const isWoken = !changed.empty() && waiter->timer.cancel() > 0;
        if (!isWoken) {
            ++waiter;
            continue;
        }
        answer(waiter->request, { 200, printObjects(changed), 0 });
        waiter = waiters_.erase(waiter);
    }
}

void PlatformServer::answer(Request const& request, Reply reply)
{
    if (faults_.silent) {
        silenced_.push_back(request);
        return;
    }
    if (faults_.outage)
        reply = { 503, "outage", 0 };
    if (faults_.slowMilliseconds == 0) {
        send(request, reply);
        return;
    }
    std::shared_ptr<asio::steady_timer> const timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(faults_.slowMilliseconds));
    timer->async_wait([this, timer, request, reply = std::move(reply)](asio::error_code const&) { send(request, reply); });
}

void PlatformServer::send(Request const& request, Reply const& reply)
{
    restinio::response_builder_t<restinio::restinio_controlled_output_t> response = request->create_response(statusLine(reply.status));
    response.append_header(restinio::http_field::content_type, "application/json");
    if (reply.version != 0)
        response.append_header(restinio::http_field::etag, '"' + std::to_string(reply.version) + '"');
    response.set_body(reply.body);
    response.done();
}

} // namespace plantaindrift::standin
