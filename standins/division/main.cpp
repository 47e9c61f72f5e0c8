// Stand-in for the division platform around the system: store, routers, targets and callers in one process, which sees
// both ends of every flow and judges the promises of the platform's pages.
//
// POST /control takes one JSON command: {"do": "drain" | "crash" | "start" | "serve" | "disturb" | "loss" | "cut" | "traffic" | "restore", ...}.
// GET /state gives counts and broken promises.

#include "common/Process.h"
#include "division/Callers.h"
#include "division/Router.h"
#include "division/Store.h"
#include "division/Targets.h"

#include <gflags/gflags.h>
#include <memory>

DEFINE_string(store, "127.0.0.1:7300", "HTTP endpoint of the store");
DEFINE_string(http, "127.0.0.1:7301", "HTTP endpoint: POST /control, GET /state");
DEFINE_string(callers, "127.9.0.1:7302", "UDP endpoint of the callers; the port is the one of all data endpoints");
DEFINE_string(entries, "", "entries as DATA/READY,...");
DEFINE_string(targets, "", "targets as SERVICE/DATA_CENTRE/APP/OUTPUT/ANNOUNCEMENTS,...");
DEFINE_string(routes, "", "routes that callers use as ADDRESS/SERVICE,...");
DEFINE_uint64(seed, 1, "seed of the random choices");

namespace plantaindrift::standins {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 5 };

    std::vector<RoutedEntry> parseEntries(std::string const& text)
    {
        std::vector<RoutedEntry> entries;
        for (std::string const& part : splitList(text, ',')) {
            std::vector<std::string> const fields = splitList(part, '/');
            if (fields.size() != 2)
                failUsage("--entries has '" + part + "'; give DATA/READY");
            entries.push_back({ requireEndpoint("entries", fields[0]), requireEndpoint("entries", fields[1]) });
        }
        return entries;
    }

    std::vector<CallerRoute> parseRoutes(std::string const& text)
    {
        std::vector<CallerRoute> routes;
        for (std::string const& part : splitList(text, ',')) {
            std::vector<std::string> const fields = splitList(part, '/');
            if (fields.size() != 2)
                failUsage("--routes has '" + part + "'; give ADDRESS/SERVICE");
            routes.push_back({ requireEndpoint("routes", fields[0]), fields[1] });
        }
        return routes;
    }

    TargetPlace parseTarget(std::string const& text)
    {
        std::vector<std::string> const fields = splitList(text, '/');
        if (fields.size() != 5)
            failUsage("--targets has '" + text + "'; give SERVICE/DATA_CENTRE/APP/OUTPUT/ANNOUNCEMENTS");
        return { fields[0], fields[1], requireEndpoint("targets", fields[2]), requireEndpoint("targets", fields[3]), requireEndpoint("targets", fields[4]) };
    }

    class Division {
    public:
        Division()
            : store_(
                process_.loop, requireEndpoint("store", FLAGS_store), [this](nlohmann::json const& contents) { noteConfiguration(contents); }, [this](std::string const& dataCentre, bool isEvacuated) { noteEvacuation(dataCentre, isEvacuated); })
            , sockets_(process_.loop)
            , router_(
                  process_.loop, parseEntries(FLAGS_entries), [this](Endpoint to, std::span<std::byte const> bytes) { sockets_.send(to, bytes); }, FLAGS_seed)
            , callers_(
                  judge_, requireEndpoint("callers", FLAGS_callers).address, parseRoutes(FLAGS_routes), [this](FlowEnds const& flow, std::span<std::byte const> bytes) { judge_.packetTaken(flow, router_.forward(flow, bytes)); }, FLAGS_seed + 1)
            , http_(process_.loop, requireEndpoint("http", FLAGS_http), [this](HttpRequest const& request) { return answer(request); })
        {
            std::uint64_t seed = FLAGS_seed + 2;
            for (std::string const& text : splitList(FLAGS_targets, ','))
                targets_.push_back(std::make_unique<Target>(process_.loop, judge_, parseTarget(text), seed++));
        }

        void run()
        {
            requireOk(sockets_.start(requireEndpoint("callers", FLAGS_callers), [this](std::span<std::byte const> datagram, Endpoint from) { callers_.receive(datagram, from, std::chrono::steady_clock::now()); }));
            requireOk(http_.start());
            store_.start();
            for (std::unique_ptr<Target> const& target : targets_)
                target->start(std::chrono::steady_clock::now());
            process_.run(tickInterval, [this](TimePoint now) { tick(now); });
            printSummary("division_summary", callers_.counts());
        }

    private:
        Process process_;
        Judge judge_;
        Store store_;
        UdpSocket sockets_;
        Router router_;
        Callers callers_;
        std::vector<std::unique_ptr<Target>> targets_;
        HttpServer http_;

        void tick(TimePoint now)
        {
            callers_.tick(now);
            for (std::unique_ptr<Target> const& target : targets_)
                target->tick(now);
        }

        void noteConfiguration(nlohmann::json const& contents)
        {
            for (nlohmann::json const& route : contents.at("routes")) {
                std::string const prefix = route.at("path-prefix").get<std::string>();
                std::optional<Endpoint> const address = parseEndpoint(route.at("host").get<std::string>() + ':' + prefix.substr(1, prefix.size() - 2));
                if (address)
                    judge_.allow(*address, route.at("service").get<std::string>());
            }
        }

        void noteEvacuation(std::string const& dataCentre, bool isEvacuated)
        {
            if (isEvacuated)
                judge_.evacuate(dataCentre, std::chrono::steady_clock::now());
            else
                judge_.withdrawEvacuation(dataCentre);
        }

        HttpAnswer answer(HttpRequest const& request)
        {
            if (request.method == "GET" && request.path == "/state")
                return jsonAnswer(state());
            try {
                logEvent(LogLevel::Info, "command", { { "text", request.body } });
                obey(nlohmann::json::parse(request.body));
            } catch (std::exception const& error) {
                return { 400, std::string("the command cannot be used: ") + error.what() + "; see the head of main.cpp\n" };
            }
            return { 200, "{}" };
        }

        [[nodiscard]] nlohmann::json state() const
        {
            nlohmann::json json { { "callers", callers_.counts() }, { "violations", judge_.violations() }, { "ready_entries", router_.readyCount() } };
            for (std::unique_ptr<Target> const& target : targets_)
                json["targets"].push_back({ { "up", target->isUp() }, { "service", target->service() }, { "requests", target->requests() }, { "returned", target->returned() } });
            return json;
        }

        void obey(nlohmann::json const& command)
        {
            std::string const what = command.at("do").get<std::string>();
            TimePoint const now = std::chrono::steady_clock::now();
            if (what == "traffic")
                callers_.setTraffic(command.at("rate").get<double>(), command.at("feeds").get<std::size_t>());
            else if (what == "loss")
                router_.setLoss(command.at("share").get<double>());
            else if (what == "cut")
                router_.cut(addressOf(command), command.at("on").get<bool>());
            else if (what == "restore")
                store_.restore(now - std::chrono::milliseconds(command.at("age_ms").get<std::int64_t>()));
            else if (what == "disturb")
                judge_.disturb(addressOf(command), now);
            else
                obeyTarget(what, *targets_.at(command.at("target").get<std::size_t>()), command, now);
        }

        static std::uint32_t addressOf(nlohmann::json const& command)
        {
            std::string const text = command.at("address").get<std::string>();
            return text.empty() ? 0 : parseAddress(text).value();
        }

        static void obeyTarget(std::string const& what, Target& target, nlohmann::json const& command, TimePoint now)
        {
            if (what == "drain")
                target.drain();
            else if (what == "crash")
                target.crash();
            else if (what == "start")
                target.start(now);
            else if (what == "serve")
                target.setService(command.at("service").get<std::string>());
            else
                throw std::invalid_argument("unknown command " + what);
        }
    };

} // namespace

} // namespace plantaindrift::standins

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in of the division platform, for the soak and its demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    plantaindrift::startLog(plantaindrift::LogLevel::Info, "");
    plantaindrift::standins::Division().run();
    return 0;
}
