// Runs the decision code in virtual time against other policies and prints one line per case and policy.

#include "Simulation.h"

#include <atomic>
#include <cstdio>
#include <gflags/gflags.h>
#include <thread>

DEFINE_bool(quick, false, "few cases, about 15 s");
DEFINE_string(only, "", "run only cases whose name contains this text");
DEFINE_string(policy, "", "run only this policy");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint32(repeat, 1, "runs of each case with successive seeds");
DEFINE_int32(queue, -1, "queue per slot instead of the deployment's");
DEFINE_uint32(threads, 3, "runs at the same time");

namespace {

using namespace plantaindrift::measure;

constexpr std::array<Policy, 5> policies { Policy::Product, Policy::Modulo, Policy::Consistent, Policy::Chain, Policy::Omniscient };
constexpr std::int64_t second = 1000000;

std::string caseName(Run const& run)
{
    return run.deployment.name + "/" + std::string(incidentName(run.incident));
}

void addRuns(std::vector<Run>& runs, Run run, std::vector<Policy> const& chosen)
{
    bool const wanted = caseName(run).find(FLAGS_only) != std::string::npos;
    for (Policy const policy : chosen) {
        bool const named = FLAGS_policy.empty() || FLAGS_policy == policyName(policy);
        for (std::uint32_t index = 0; wanted && named && index < FLAGS_repeat; ++index) {
            run.policy = policy;
            run.seed = FLAGS_seed + index;
            if (FLAGS_queue >= 0)
                run.deployment.queuePerSlot = static_cast<std::uint32_t>(FLAGS_queue);
            runs.push_back(run);
        }
    }
}

std::vector<Run> steadyRuns()
{
    std::vector<Run> runs;
    for (Deployment const& deployment : todaysDeployments()) {
        for (std::uint32_t const load : { 50U, 70U, 90U, 130U }) {
            Run run { deployment, Policy::Product, Incident::None, load };
            addRuns(runs, run, { Policy::Product, Policy::Omniscient });
            run.length = 40 * second;
            addRuns(runs, run, { Policy::Modulo, Policy::Consistent, Policy::Chain });
        }
    }
    return runs;
}

std::vector<Run> incidentRuns()
{
    std::vector<Run> runs;
    std::vector<Deployment> const deployments = todaysDeployments();
    for (std::size_t const index : { std::size_t { 0 }, std::size_t { 2 } }) {
        for (std::uint8_t incident = 1; incident <= static_cast<std::uint8_t>(Incident::ColdStart); ++incident) {
            Run run { deployments[index], Policy::Product, static_cast<Incident>(incident), 70 };
            run.length = 45 * second;
            addRuns(runs, run, { policies.begin(), policies.end() });
        }
    }
    return runs;
}

std::vector<Run> largeRuns()
{
    Deployment large { "large", 300, 7, 8, 30, 500, 1000, 300000, 2 };
    std::vector<Run> runs;
    for (Incident const incident : { Incident::None, Incident::Drain, Incident::TargetCrash }) {
        Run run { large, Policy::Product, incident, 70 };
        run.length = (incident == Incident::None ? 20 : 12) * second;
        addRuns(runs, run, { Policy::Product, Policy::Consistent, Policy::Omniscient });
    }
    return runs;
}

std::vector<Run> quickRuns()
{
    std::vector<Run> runs;
    for (Deployment const& deployment : todaysDeployments()) {
        for (std::uint32_t const load : { 70U, 130U }) {
            Run run { deployment, Policy::Product, Incident::None, load };
            run.length = 60 * second;
            addRuns(runs, run, { Policy::Product, Policy::Omniscient });
        }
    }
    Run rolling { todaysDeployments()[0], Policy::Product, Incident::Rolling, 70 };
    rolling.length = 60 * second;
    addRuns(runs, rolling, { Policy::Product });
    return runs;
}

std::string lineOf(Run const& run, Result const& result)
{
    std::array<char, 512> text {};
    std::snprintf(text.data(), text.size(),
        "case=%s policy=%s load=%u seed=%llu flows=%llu broken=%llu requests=%llu run_twice=%llu refused=%llu falsely_not_run=%llu misrouted=%llu "
        "imbalance=%.3f p99_wait_ms=%.1f extra_hops=%.4f completed_share=%.3f control_bytes_per_s=%.0f broken_elsewhere=%llu",
        caseName(run).c_str(), std::string(policyName(run.policy)).c_str(), run.loadPercent, static_cast<unsigned long long>(run.seed),
        static_cast<unsigned long long>(result.flows), static_cast<unsigned long long>(result.broken), static_cast<unsigned long long>(result.requests),
        static_cast<unsigned long long>(result.runTwice), static_cast<unsigned long long>(result.refused), static_cast<unsigned long long>(result.falselyNotRun),
        static_cast<unsigned long long>(result.misrouted), result.imbalance, result.waitMilliseconds, result.extraHops, result.completedShare,
        result.controlBytes, static_cast<unsigned long long>(result.brokenElsewhere));
    return text.data();
}

void append(std::vector<Run>& runs, std::vector<Run> const& more)
{
    runs.insert(runs.end(), more.begin(), more.end());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<Run> runs;
    if (FLAGS_quick) {
        append(runs, quickRuns());
    } else {
        append(runs, largeRuns());
        append(runs, steadyRuns());
        append(runs, incidentRuns());
    }
    std::vector<std::string> lines(runs.size());
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> workers;
    for (std::uint32_t worker = 0; worker < FLAGS_threads; ++worker) {
        workers.emplace_back([&] {
            for (std::size_t index = next++; index < runs.size(); index = next++)
                lines[index] = lineOf(runs[index], Simulation(runs[index]).run());
        });
    }
    for (std::thread& worker : workers)
        worker.join();
    for (std::string const& line : lines)
        std::puts(line.c_str());
    return 0;
}
