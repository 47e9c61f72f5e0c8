#include "runtime/MetricsPage.h"

#include <fstream>
#include <limits>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

namespace plantaindrift {

namespace {

    double seconds(timeval const& time) noexcept
    {
        constexpr double microsecondsPerSecond = 1e6;
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
    }

    double residentBytes()
    {
        std::ifstream stream("/proc/self/statm");
        double total = 0;
        double resident = 0;
        stream >> total >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
    }

} // namespace

prometheus::ClientMetric& MetricsPage::add(std::string_view name, std::string_view help, Labels const& labels, prometheus::MetricType type)
{
    prometheus::MetricFamily& family = families_[std::string(name)];
    family.name = name;
    family.help = help;
    family.type = type;
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    for (std::pair<std::string, std::string> const& label : labels)
        metric.label.push_back({ label.first, label.second });
    return metric;
}

void MetricsPage::addCounter(std::string_view name, std::string_view help, Labels const& labels, double value)
{
    add(name, help, labels, prometheus::MetricType::Counter).counter.value = value;
}

void MetricsPage::addGauge(std::string_view name, std::string_view help, Labels const& labels, double value)
{
    add(name, help, labels, prometheus::MetricType::Gauge).gauge.value = value;
}

void MetricsPage::addHistogram(std::string_view name, std::string_view help, Labels const& labels, LatencyHistogram const& histogram)
{
    prometheus::ClientMetric::Histogram& printed = add(name, help, labels, prometheus::MetricType::Histogram).histogram;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < histogram.counts().size(); ++index) {
        bool const isBounded = index < LatencyHistogram::upperBounds.size();
        cumulative += histogram.counts()[index];
        printed.bucket.push_back({ cumulative, isBounded ? LatencyHistogram::upperBounds[index] : std::numeric_limits<double>::infinity() });
    }
    printed.sample_count = cumulative;
    printed.sample_sum = histogram.sumSeconds();
}

void MetricsPage::addProcess()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    addCounter("process_cpu_seconds_total", "User and system processor time.", {}, seconds(usage.ru_utime) + seconds(usage.ru_stime));
    addGauge("process_resident_memory_bytes", "Resident memory.", {}, residentBytes());
}

std::string MetricsPage::text() const
{
    std::vector<prometheus::MetricFamily> list;
    for (std::map<std::string, prometheus::MetricFamily, std::less<>>::const_iterator family = families_.begin(); family != families_.end(); ++family)
        list.push_back(family->second);
    return prometheus::TextSerializer().Serialize(list);
}

} // namespace plantaindrift
