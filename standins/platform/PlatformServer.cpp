#include "platform/PlatformServer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace plantaindrift::standin {

namespace {

    constexpr std::size_t mostListed = 1'000;
    constexpr std::chrono::milliseconds longestWatch { 60'000 };
    constexpr std::string_view objectsPath = "/v1/objects";

    std::string headerOf(restinio::request_handle_t const& request, char const* name)
    {
        std::string value;
        request->header().for_each_value_of(name, [&value](restinio::string_view_t text) {
            value.assign(text.data(), text.size());
            return restinio::http_header_fields_t::stop_enumeration();
        });
        return value;
    }

    // Reads the version of `If-Match: "7"`.
    std::optional<std::uint64_t> matchOf(restinio::request_handle_t const& request)
    {
        std::string const text = headerOf(request, "If-Match");
        if (text.size() < 3 || text.front() != '"' || text.back() != '"')
            return std::nullopt;
        return FaultyServer::parseNumber(std::string_view(text).substr(1, text.size() - 2));
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
    , server_(context, listen, std::move(onListening), [this](Request const& request, std::string const& path) { handle(request, path); })
{
    for (char const* const kind : { "get", "create", "update", "remove", "list", "watch" })
        counts_[kind] = 0;
}

void PlatformServer::start()
{
    server_.start();
}

void PlatformServer::stop()
{
    context_.stop();
}

void PlatformServer::handle(Request const& request, std::string const& path)
{
    if (path == "/counts")
        FaultyServer::send(request, { 200, nlohmann::json(counts_).dump(), 0 });
    else if (path == "/v1/watch")
        handleWatch(request);
    else if (path.starts_with(objectsPath))
        handleObjects(request, path);
    else
        FaultyServer::send(request, { 404, "unknown path; use /v1/objects, /v1/watch, /faults or /counts", 0 });
}

void PlatformServer::handleObjects(Request const& request, std::string_view path)
{
    path.remove_prefix(objectsPath.size());
    bool const isRead = request->header().method() == restinio::http_method_get();
    if (path.empty() && isRead) {
        count("list");
        server_.answer(request, list(request));
        return;
    }
    std::string const key(path.empty() ? path : path.substr(1));
    if (key.empty()) {
        FaultyServer::send(request, { 400, "no key; use /v1/objects/KEY", 0 });
        return;
    }
    if (!isRead) {
        handleWrite(request, key);
        return;
    }
    count("get");
    server_.answer(request, get(key));
}

void PlatformServer::handleWrite(Request const& request, std::string const& key)
{
    bool const isRemove = request->header().method() == restinio::http_method_delete();
    bool const isCreate = !isRemove && headerOf(request, "If-None-Match") == "*";
    if (isRemove)
        count("remove");
    else
        count(isCreate ? "create" : "update");
    if (server_.isDown()) {
        server_.answer(request, {});
        return;
    }
    Reply reply = isRemove ? remove(request, key) : put(request, key);
    wakeWaiters();
    if (server_.takeLostAnswer())
        return;
    server_.answer(request, std::move(reply));
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
    std::size_t const limit = static_cast<std::size_t>(FaultyServer::parseNumber(FaultyServer::parameterOf(request, "limit")).value_or(mostListed));
    return { 200, printObjects(objects_.list(FaultyServer::parameterOf(request, "prefix"), FaultyServer::parameterOf(request, "after"), std::min(limit, mostListed))), 0 };
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
    std::string const prefix = FaultyServer::parameterOf(request, "prefix");
    std::uint64_t const after = FaultyServer::parseNumber(FaultyServer::parameterOf(request, "after")).value_or(0);
    std::vector<StoredObject> const changed = objects_.changedAfter(prefix, after, mostListed);
    if (!changed.empty() || server_.isDown()) {
        server_.answer(request, { 200, printObjects(changed), 0 });
        return;
    }
    std::chrono::milliseconds const timeout(FaultyServer::parseNumber(FaultyServer::parameterOf(request, "timeout_ms")).value_or(0));
    std::list<Waiter>::iterator const waiter = waiters_.insert(waiters_.end(), Waiter { request, prefix, after, asio::steady_timer(context_) });
    waiter->timer.expires_after(std::min(timeout, longestWatch));
    waiter->timer.async_wait([this, waiter](asio::error_code const& error) {
        if (error)
            return;
        server_.answer(waiter->request, { 200, printObjects({}), 0 });
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
        server_.answer(waiter->request, { 200, printObjects(changed), 0 });
        waiter = waiters_.erase(waiter);
    }
}

} // namespace plantaindrift::standin
