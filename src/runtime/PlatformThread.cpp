#include "runtime/PlatformThread.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/platform/HttpObjectStore.h"
#include "runtime/Announcement.h"

#include <algorithm>
#include <asio/post.hpp>

namespace plantaindrift {

namespace {

    constexpr std::size_t pageObjects = 100;
    constexpr std::string_view logPrefix = "log/";
    constexpr std::chrono::milliseconds watchTime { 5000 };
    constexpr std::chrono::milliseconds retryPause { 1000 };

    std::string_view message(absl::Status const& status)
    {
        return { status.message().data(), status.message().size() };
    }

} // namespace

std::unique_ptr<ObjectStore> openPlatform(CommonSettings const& settings)
{
    HttpObjectStoreOptions options;
    options.url = settings.platformUrl;
    options.certificateAuthorityFile = settings.platformAuthorityFile;
    options.timeout = settings.platformTimeout;
    options.randomSeed = hashText(settings.name);
    return makeHttpObjectStore(options);
}

PlatformReader::PlatformReader(asio::io_context& loop, std::unique_ptr<ObjectStore> store, std::chrono::seconds poll, std::uint64_t seed, Handlers handlers)
    : loop_(loop)
    , store_(std::move(store))
    , poll_(poll)
    , handlers_(std::move(handlers))
    , random_(static_cast<std::uint32_t>(seed))
{
}

PlatformReader::~PlatformReader()
{
    requestStop();
    if (thread_.joinable())
        thread_.join();
}

void PlatformReader::start()
{
    thread_ = std::thread([this] { run(); });
}

void PlatformReader::setState(std::uint64_t position, bool watcher)
{
    position_ = position;
    if (watcher_.exchange(watcher) != watcher)
        wake_.notify_all();
}

void PlatformReader::requestStop()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
}

void PlatformReader::run()
{
    bool membersKnown = false;
    while (!stopping_) {
        membersKnown = membersKnown || fetchMembers();
        bool answered = fetchChanges();
        if (answered && watcher_ && !stopping_)
            answered = watchChanges();
        else if (answered)
            pause(jitter(poll_));
        if (!answered)
            pause(jitter(retryPause));
    }
}

bool PlatformReader::fetchMembers()
{
    std::vector<Member> members;
    std::string after;
    while (!stopping_) {
        absl::StatusOr<std::vector<StoredObject>> const page = store_->list(announcementPrefix, after, pageObjects);
        noteResult(page.status());
        if (!page.ok())
            return false;
        for (StoredObject const& object : *page) {
            absl::StatusOr<Member> const member = decodeAnnouncement(object.value);
            if (member.ok())
                members.push_back(*member);
            else
                logEvent(LogLevel::Warning, "announcement_malformed", { { "key", object.key }, { "error", message(member.status()) } });
            after = object.key;
        }
        if (page->size() < pageObjects)
            break;
    }
    asio::post(loop_, [this, members = std::move(members)] { handlers_.members(members); });
    return true;
}

bool PlatformReader::fetchChanges()
{
    std::uint64_t position = position_;
    while (!stopping_) {
        absl::StatusOr<std::vector<StoredObject>> const page = store_->list(logPrefix, changeKey(position), pageObjects);
        noteResult(page.status());
        if (!page.ok())
            return false;
        postChanges(*page);
        if (page->size() < pageObjects)
            break;
        position = fetched_;
    }
    asio::post(loop_, handlers_.confirmed);
    return true;
}

bool PlatformReader::watchChanges()
{
    absl::StatusOr<std::vector<StoredObject>> const changed = store_->watch(logPrefix, lastVersion_, watchTime);
    noteResult(changed.status());
    if (!changed.ok())
        return false;
    postChanges(*changed);
    asio::post(loop_, handlers_.confirmed);
    return true;
}

void PlatformReader::postChanges(std::vector<StoredObject> const& objects)
{
    std::vector<ConfigurationChange> changes;
    for (StoredObject const& object : objects) {
        lastVersion_ = std::max(lastVersion_, object.version);
        absl::StatusOr<ConfigurationChange> const change = decodeChange(object.value);
        if (change.ok())
            changes.push_back(*change);
        else
            logEvent(LogLevel::Error, "change_malformed", { { "key", object.key }, { "error", message(change.status()) } });
    }
    if (changes.empty())
        return;
    fetched_ = changes.back().position;
    asio::post(loop_, [this, changes = std::move(changes)] { handlers_.changes(changes); });
}

void PlatformReader::noteResult(absl::Status const& status)
{
    if (status.ok() == reachable_)
        return;
    reachable_ = status.ok();
    if (reachable_)
        logEvent(LogLevel::Info, "platform_reachable");
    else
        logEvent(LogLevel::Warning, "platform_unreachable", { { "error", message(status) } });
}

void PlatformReader::pause(std::chrono::milliseconds duration)
{
    bool const watched = watcher_;
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, duration, [this, watched] { return stopping_ || watcher_ != watched; });
}

std::chrono::milliseconds PlatformReader::jitter(std::chrono::milliseconds base)
{
    // Half to one and a half times the base keeps processes that started together apart.
    std::uniform_int_distribution<std::int64_t> distribution(base.count() / 2, base.count() * 3 / 2);
    return std::chrono::milliseconds(distribution(random_));
}

PlatformAnnouncer::PlatformAnnouncer(std::unique_ptr<ObjectStore> store, std::uint64_t seed)
    : store_(std::move(store))
    , random_(static_cast<std::uint32_t>(seed))
    , thread_([this] { run(); })
{
}

PlatformAnnouncer::~PlatformAnnouncer()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void PlatformAnnouncer::announce(Member const& member, std::chrono::milliseconds spread)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        pending_ = std::make_unique<Member>(member);
        spread_ = spread;
    }
    wake_.notify_all();
}

void PlatformAnnouncer::flush(std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(mutex_);
    wake_.wait_for(lock, limit, [this] { return pending_ == nullptr && !writing_; });
}

void PlatformAnnouncer::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
        wake_.wait(lock, [this] { return stopping_ || pending_ != nullptr; });
        std::uniform_int_distribution<std::int64_t> distribution(0, spread_.count());
        std::chrono::milliseconds const spread = spread_;
        // A newer record with a shorter spread, such as that of a leaving agent, ends the wait.
        wake_.wait_for(lock, std::chrono::milliseconds(distribution(random_)), [this, spread] { return stopping_ || spread_ < spread; });
        if (stopping_ || pending_ == nullptr)
            continue;
        Member const member = *std::exchange(pending_, nullptr);
        writing_ = true;
        lock.unlock();
        bool const written = write(member);
        lock.lock();
        writing_ = false;
        if (!written && pending_ == nullptr) {
            pending_ = std::make_unique<Member>(member);
            spread_ = std::max(spread_, retryPause);
        }
        wake_.notify_all();
    }
}

bool PlatformAnnouncer::write(Member const& member)
{
    std::string const key = announcementKey(member);
    absl::StatusOr<StoredObject> const current = store_->get(key);
    absl::Status status = current.status();
    if (current.ok())
        status = store_->update(key, encodeAnnouncement(member), current->version).status();
    else if (errorKind(status) == ErrorKind::NotFound)
        status = store_->create(key, encodeAnnouncement(member)).status();
    if (!status.ok())
        logEvent(LogLevel::Warning, "announcement_failed", { { "key", key }, { "error", message(status) } });
    else
        logEvent(LogLevel::Info, "announced", { { "key", key }, { "state", memberStateName(member.state) } });
    return status.ok();
}

} // namespace plantaindrift
