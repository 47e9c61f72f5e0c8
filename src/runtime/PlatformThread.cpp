#include "runtime/PlatformThread.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/store/HttpObjectStore.h"

#include <algorithm>
#include <asio/post.hpp>

namespace plantaindrift {

namespace {

    constexpr std::string_view logPrefix = "log/";
    constexpr std::chrono::milliseconds watchTimeout { 5000 };
    constexpr std::chrono::milliseconds retryDelay { 1000 };
    // Spreads the writes after a change: 790 entries write fewer than 100 status objects a second.
    constexpr std::chrono::milliseconds statusDelay { 10000 };
    constexpr std::chrono::seconds statusInterval { 100 };

    std::string_view message(absl::Status const& status)
    {
        return { status.message().data(), status.message().size() };
    }

} // namespace

std::unique_ptr<ObjectStore> openPlatform(CommonSettings const& settings)
{
    HttpObjectStoreOptions options;
    options.url = settings.platformUrl;
    options.certificateAuthorityFile = settings.platformCertificateAuthorityFile;
    options.timeout = settings.platformTimeout;
    options.randomSeed = hashText(settings.name);
    return makeHttpObjectStore(options);
}

absl::Status writeObject(ObjectStore& store, std::string const& key, std::string const& value)
{
    absl::StatusOr<StoredObject> const current = store.get(key);
    if (current.ok())
        return store.update(key, value, current->version).status();
    if (errorKind(current.status()) == ErrorKind::NotFound)
        return store.create(key, value).status();
    return current.status();
}

PlatformReader::PlatformReader(asio::io_context& loop, std::unique_ptr<ObjectStore> store, CommonSettings const& settings, Handlers handlers)
    : loop_(loop)
    , store_(std::move(store))
    , changes_(*store_)
    , name_(settings.name)
    , dataCentre_(settings.dataCentre)
    , pollInterval_(settings.platformPollInterval)
    , handlers_(std::move(handlers))
    , random_(static_cast<std::uint32_t>(hashText(settings.name)))
    , nextStatusWrite_(std::chrono::steady_clock::now() + statusInterval)
    , lastResponse_(std::chrono::steady_clock::now())
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
    bool const changed = position_.exchange(position) != position;
    if (watcher_.exchange(watcher) != watcher || changed)
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
        if (answered)
            writeStatusIfDue();
        if (answered && watcher_ && !stopping_)
            answered = watchChanges();
        else if (answered)
            pause(jitter(pollInterval_));
        if (!answered)
            pause(jitter(retryDelay));
    }
}

void PlatformReader::writeStatusIfDue()
{
    TimePoint const now = std::chrono::steady_clock::now();
    std::uint64_t const position = position_;
    if (position != writtenPosition_) {
        writtenPosition_ = position;
        nextStatusWrite_ = std::min(nextStatusWrite_, now + jitter(statusDelay / 2));
    }
    if (stopping_ || now < nextStatusWrite_)
        return;
    EntryStatus status;
    status.name = name_;
    status.dataCentre = dataCentre_;
    status.position = position;
    status.timeMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    status.ageMilliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - lastResponse_).count());
    absl::Status const written = writeObject(*store_, entryStatusKey(name_), encodeEntryStatus(status));
    recordResult(written);
    nextStatusWrite_ = now + (written.ok() ? jitter(statusInterval) : jitter(statusDelay));
}

bool PlatformReader::fetchMembers()
{
    absl::StatusOr<std::vector<Member>> members = listAnnouncements(*store_, "");
    recordResult(members.status());
    if (!members.ok())
        return false;
    asio::post(loop_, [this, list = std::move(*members)] { handlers_.members(list); });
    return true;
}

bool PlatformReader::fetchChanges()
{
    absl::StatusOr<LogContents> contents = changes_.readAfter(position_);
    recordResult(contents.status());
    if (!contents.ok())
        return false;
    if (contents->snapshotPosition > 0)
        asio::post(loop_, [this, position = contents->snapshotPosition, configuration = std::move(contents->snapshot)] { handlers_.snapshot(position, configuration); });
    postChanges(std::move(contents->changes));
    asio::post(loop_, handlers_.confirmed);
    return true;
}

// A watch starts after the newest applied change.
bool PlatformReader::initializeWatchVersion()
{
    std::uint64_t const position = position_;
    if (watchVersion_ > 0 || position == 0)
        return true;
    absl::StatusOr<StoredObject> const newest = store_->get(changeKey(position));
    recordResult(newest.status());
    if (newest.ok())
        watchVersion_ = newest->version;
    return newest.ok();
}

bool PlatformReader::watchChanges()
{
    if (!initializeWatchVersion())
        return false;
    absl::StatusOr<std::vector<StoredObject>> const changed = store_->watch(logPrefix, watchVersion_, watchTimeout);
    recordResult(changed.status());
    if (!changed.ok())
        return false;
    std::vector<ConfigurationChange> changes;
    for (StoredObject const& object : *changed) {
        watchVersion_ = std::max(watchVersion_, object.version);
        absl::StatusOr<ConfigurationChange> const change = decodeChange(object.value);
        if (change.ok())
            changes.push_back(*change);
        else
            logEvent(LogLevel::Error, "change_malformed", { { "key", object.key }, { "error", message(change.status()) } });
    }
    postChanges(std::move(changes));
    asio::post(loop_, handlers_.confirmed);
    return true;
}

void PlatformReader::postChanges(std::vector<ConfigurationChange> changes)
{
    if (!changes.empty())
        asio::post(loop_, [this, list = std::move(changes)] { handlers_.changes(list); });
}

void PlatformReader::recordResult(absl::Status const& status)
{
    if (status.ok())
        lastResponse_ = std::chrono::steady_clock::now();
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
    TimePoint const now = std::chrono::steady_clock::now();
    TimePoint const end = nextStatusWrite_ > now ? std::min(now + duration, nextStatusWrite_) : now + duration;
    std::uint64_t const position = position_;
    wake_.wait_until(lock, end, [this, watched, position] { return stopping_ || watcher_ != watched || position_ != position; });
}

std::chrono::milliseconds PlatformReader::jitter(std::chrono::milliseconds base)
{
    // A factor of 0.5 to 1.5 keeps processes that started at the same time from polling at the same time.
    std::uniform_int_distribution<std::int64_t> distribution(base.count() / 2, base.count() * 3 / 2);
    return std::chrono::milliseconds(distribution(random_));
}

PlatformAnnouncer::PlatformAnnouncer(asio::io_context& loop, std::unique_ptr<ObjectStore> store, Member const& self, std::chrono::seconds pollInterval, std::uint64_t seed, std::function<void(bool)> drainHandler)
    : loop_(loop)
    , store_(std::move(store))
    , service_(self.service)
    , name_(self.name)
    , pollInterval_(pollInterval)
    , drainHandler_(std::move(drainHandler))
    , random_(static_cast<std::uint32_t>(seed))
    , nextPoll_(std::chrono::steady_clock::now())
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

void PlatformAnnouncer::announce(Member const& member, std::chrono::milliseconds maximumDelay)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        pending_ = std::make_unique<Member>(member);
        writeTime_ = std::chrono::steady_clock::now() + randomDelay(maximumDelay);
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
        TimePoint const now = std::chrono::steady_clock::now();
        if (pending_ != nullptr && writeTime_ <= now)
            writePending(lock);
        else if (nextPoll_ <= now)
            pollDrain(lock);
        else
            wake_.wait_until(lock, pending_ != nullptr ? std::min(writeTime_, nextPoll_) : nextPoll_);
    }
}

void PlatformAnnouncer::writePending(std::unique_lock<std::mutex>& lock)
{
    Member const member = *std::exchange(pending_, nullptr);
    writing_ = true;
    lock.unlock();
    bool const written = write(member);
    lock.lock();
    writing_ = false;
    if (!written && pending_ == nullptr) {
        pending_ = std::make_unique<Member>(member);
        writeTime_ = std::chrono::steady_clock::now() + retryDelay + randomDelay(retryDelay);
    }
    wake_.notify_all();
}

void PlatformAnnouncer::pollDrain(std::unique_lock<std::mutex>& lock)
{
    // Keeps agents that started at the same time from polling at the same time.
    nextPoll_ = std::chrono::steady_clock::now() + pollInterval_ / 2 + randomDelay(pollInterval_);
    lock.unlock();
    absl::StatusOr<std::optional<DrainRequest>> const request = readDrainRequest(*store_, service_, name_);
    if (request.ok())
        asio::post(loop_, [this, isRequested = request->has_value()] { drainHandler_(isRequested); });
    lock.lock();
}

Duration PlatformAnnouncer::randomDelay(std::chrono::milliseconds limit)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random_));
}

bool PlatformAnnouncer::write(Member const& member)
{
    std::string const key = announcementKey(member.service, member.name);
    absl::Status const status = writeObject(*store_, key, encodeMember(member));
    if (!status.ok())
        logEvent(LogLevel::Warning, "announcement_failed", { { "key", key }, { "error", message(status) } });
    else
        logEvent(LogLevel::Info, "announced", { { "key", key }, { "state", memberStateName(member.state) } });
    return status.ok();
}

} // namespace plantaindrift
