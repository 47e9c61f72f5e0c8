#include "division/Store.h"

#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaindrift::standins {

namespace {

    constexpr std::string_view objectsPath = "/plantaindrift/objects/";
    constexpr std::chrono::milliseconds longestWatch { 30'000 };
    constexpr std::string_view operatorKind = "config";
    constexpr std::string_view evacuationKind = "evacuations";

    using standin::FaultyServer;

} // namespace

Store::Store(asio::io_context& loop, Endpoint listen, ConfigurationObserver configured, EvacuationObserver evacuated)
    : loop_(loop)
    , configured_(std::move(configured))
    , evacuated_(std::move(evacuated))
    , repeatTimer_(loop)
    , server_(
          loop, listen, [](std::uint16_t) {}, [this](Request const& request, std::string const& path) { handle(request, path); })
{
}

void Store::answer(Request const& request, Reply reply)
{
    reply.era = era_;
    server_.answer(request, std::move(reply));
}

void Store::handle(Request const& request, std::string const& path)
{
    if (path == "/forget") {
        forgetHistory();
        FaultyServer::send(request, { 200, "{}", 0, era_ });
        return;
    }
    if (!path.starts_with(objectsPath)) {
        FaultyServer::send(request, { 404, "{}", 0, era_ });
        return;
    }
    std::string const rest = path.substr(objectsPath.size());
    std::size_t const slash = rest.find('/');
    std::string const kind = rest.substr(0, slash);
    std::string const name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (server_.isDown())
        answer(request, {});
    else if (request->header().method() == restinio::http_method_get())
        handleRead(request, kind, name);
    else
        handleWrite(request, kind, name);
}

void Store::handleRead(Request const& request, std::string const& kind, std::string const& name)
{
    std::optional<std::uint64_t> const watch = FaultyServer::parseNumber(FaultyServer::parameterOf(request, "watch"));
    if (watch) {
        handleWatch(request, kind, *watch);
        return;
    }
    if (name.empty()) {
        answer(request, list(request, kind));
        return;
    }
    Kind::const_iterator const found = kinds_[kind].find(name);
    answer(request, found == kinds_[kind].end() ? Reply { 404, "{}", 0 } : Reply { 200, found->second.dump(), 0 });
}

Store::Reply Store::list(Request const& request, std::string const& kind) const
{
    constexpr std::size_t pageItems = 500;
    std::string const after = FaultyServer::parameterOf(request, "after");
    nlohmann::json page { { "items", nlohmann::json::array() }, { "more", false }, { "store-revision", revision_ } };
    std::map<std::string, Kind>::const_iterator const objects = kinds_.find(kind);
    if (objects == kinds_.end())
        return { 200, page.dump(), 0 };
    for (Kind::const_iterator object = objects->second.upper_bound(after); object != objects->second.end(); ++object) {
        if (page["items"].size() == pageItems) {
            page["more"] = true;
            break;
        }
        page["items"].push_back(object->second);
    }
    return { 200, page.dump(), 0 };
}

void Store::handleWrite(Request const& request, std::string const& kind, std::string name)
{
    nlohmann::json const body = nlohmann::json::parse(request->body(), nullptr, false);
    bool const isRemoval = request->header().method() == restinio::http_method_delete();
    if (!isRemoval && !body.is_object()) {
        answer(request, { 400, "{}", 0 });
        return;
    }
    if (name.empty() && body.contains("meta"))
        name = body["meta"].value("name", "");
    Reply reply = write(request, kind, name, body);
    wakeWaiters();
    if (!server_.takeLostAnswer())
        answer(request, std::move(reply));
}

Store::Reply Store::write(Request const& request, std::string const& kind, std::string const& name, nlohmann::json const& body)
{
    Kind& objects = kinds_[kind];
    Kind::iterator const found = objects.find(name);
    bool const isNew = found == objects.end();
    if (request->header().method() == restinio::http_method_post() && !isNew)
        return { 409, found->second.dump(), 0 };
    if (request->header().method() == restinio::http_method_delete()) {
        noteEvacuation(kind == evacuationKind ? name : "", false);
        return removeObject(kind, name) ? Reply { 200, "{}", 0 } : Reply { 404, "{}", 0 };
    }
    noteEvacuation(kind == evacuationKind ? name : "", true);
    nlohmann::json const contents = body.value("spec", nlohmann::json::object());
    if (!isNew && found->second["spec"] == contents)
        return { 200, found->second.dump(), 0 };
    put(kind, name, contents);
    if (kind == operatorKind)
        configured_(contents);
    return { 200, objects[name].dump(), 0 };
}

// The operator's own write, which needs no repetition any more.
void Store::noteEvacuation(std::string const& name, bool isEvacuated)
{
    if (name.empty())
        return;
    owedEvacuations_.erase(name);
    if (evacuated_)
        evacuated_(name, isEvacuated);
}

bool Store::removeObject(std::string const& kind, std::string const& name)
{
    Kind::node_type const removed = kinds_[kind].extract(name);
    if (removed.empty())
        return false;
    note(kind, removed.mapped(), true, removed.mapped());
    return true;
}

void Store::put(std::string const& kind, std::string const& name, nlohmann::json const& contents)
{
    nlohmann::json& object = kinds_[kind][name];
    nlohmann::json before = std::move(object);
    std::uint64_t const next = revision_ + 1;
    std::uint64_t const created = before.is_null() ? next : before["meta"]["create-revision"].get<std::uint64_t>();
    object = { { "meta", { { "name", name }, { "revision", next }, { "create-revision", created }, { "finalizers", nlohmann::json::array() }, { "deleting", false } } }, { "spec", contents }, { "status", nlohmann::json::object() } };
    note(kind, object, false, std::move(before));
}

void Store::note(std::string const& kind, nlohmann::json const& object, bool deleted, nlohmann::json before)
{
    history_.push_back({ ++revision_, kind, object, deleted, std::move(before), std::chrono::steady_clock::now() });
}

void Store::undo(Change const& change)
{
    std::string const name = change.object["meta"]["name"].get<std::string>();
    if (change.before.is_null())
        kinds_[change.kind].erase(name);
    else
        kinds_[change.kind][name] = change.before;
}

void Store::restore(std::chrono::steady_clock::time_point taken)
{
    std::vector<Change> lost;
    while (!history_.empty() && history_.back().time > taken) {
        undo(history_.back());
        lost.insert(lost.begin(), std::move(history_.back()));
        history_.pop_back();
        revision_ = lost.front().revision - 1;
    }
    forgotten_ = std::min(forgotten_, revision_);
    ++era_;
    cutWaiters();
    std::size_t const all = lost.size();
    for (Change const& change : lost) {
        if (change.kind == evacuationKind)
            owedEvacuations_[change.object["meta"]["name"].get<std::string>()] = !change.deleted;
    }
    repeatTimer_.expires_after(evacuationRepeatDelay);
    repeatTimer_.async_wait([this](asio::error_code const& error) {
        if (!error)
            repeatEvacuations();
    });
    std::erase_if(lost, [](Change const& change) { return change.kind != operatorKind; });
    for (Change const& change : lost)
        put(change.kind, change.object["meta"]["name"].get<std::string>(), change.object["spec"]);
    logEvent(LogLevel::Info, "store_restored", { { "era", era_ }, { "lost", all - lost.size() }, { "written_again", lost.size() }, { "revision", revision_ } });
}

void Store::repeatEvacuations()
{
    for (auto const& [name, isEvacuated] : std::exchange(owedEvacuations_, {})) {
        if (isEvacuated)
            put(std::string(evacuationKind), name, nlohmann::json::object());
        else
            (void)removeObject(std::string(evacuationKind), name);
    }
    wakeWaiters();
}

void Store::handleWatch(Request const& request, std::string const& kind, std::uint64_t after)
{
    // The store never gave out a later revision, or it lost it.
    bool const isUnknown = after < forgotten_ || after > revision_;
    if (isUnknown) {
        answer(request, { 410, "{}", 0 });
        return;
    }
    if (hasEvents(kind, after)) {
        answer(request, { 200, events(kind, after), 0 });
        return;
    }
    std::chrono::milliseconds const wait { FaultyServer::parseNumber(FaultyServer::parameterOf(request, "wait-ms")).value_or(0) };
    std::list<Waiter>::iterator const waiter = waiters_.insert(waiters_.end(), Waiter { request, kind, after, asio::steady_timer(loop_) });
    waiter->timer.expires_after(std::min(wait, longestWatch));
    waiter->timer.async_wait([this, waiter](asio::error_code const& error) {
        if (error)
            return;
        answer(waiter->request, { 200, events(waiter->kind, waiter->after), 0 });
        waiters_.erase(waiter);
    });
}

bool Store::hasEvents(std::string const& kind, std::uint64_t after) const
{
    return std::any_of(history_.begin(), history_.end(), [&](Change const& change) { return change.revision > after && change.kind == kind; });
}

std::string Store::events(std::string const& kind, std::uint64_t after) const
{
    nlohmann::json list = nlohmann::json::array();
    for (Change const& change : history_) {
        if (change.revision > after && change.kind == kind)
            list.push_back({ { "object", change.object }, { "deleted", change.deleted } });
    }
    return nlohmann::json { { "events", list }, { "store-revision", revision_ } }.dump();
}

void Store::wakeWaiters()
{
    for (std::list<Waiter>::iterator waiter = waiters_.begin(); waiter != waiters_.end();) {
        // A timer that has already expired answers by itself; answering here as well would answer twice.
        bool const isWoken = hasEvents(waiter->kind, waiter->after) && waiter->timer.cancel() > 0;
        if (isWoken)
            answer(waiter->request, { 200, events(waiter->kind, waiter->after), 0 });
        waiter = isWoken ? waiters_.erase(waiter) : std::next(waiter);
    }
}

// What was written stays known for a restore.
void Store::forgetHistory()
{
    forgotten_ = revision_;
    cutWaiters();
}

// A request that is released closes its connection.
void Store::cutWaiters()
{
    for (std::list<Waiter>::iterator waiter = waiters_.begin(); waiter != waiters_.end();)
        waiter = waiter->timer.cancel() > 0 ? waiters_.erase(waiter) : std::next(waiter);
}

} // namespace plantaindrift::standins
