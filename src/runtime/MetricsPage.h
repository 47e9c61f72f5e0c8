#pragma once

#include "plantaindrift/base/LatencyHistogram.h"

#include <map>
#include <prometheus/metric_family.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Collects the metrics of one scrape and formats them in the Prometheus text format.
class MetricsPage {
public:
    using Labels = std::vector<std::pair<std::string, std::string>>;

    /// \param name  ends in _total, preceded by the unit
    void addCounter(std::string_view name, std::string_view help, Labels const& labels, double value);

    /// \param name  ends in the unit, if the value has one
    void addGauge(std::string_view name, std::string_view help, Labels const& labels, double value);

    /// \param name  ends in _seconds
    void addHistogram(std::string_view name, std::string_view help, Labels const& labels, LatencyHistogram const& histogram);

    /// \brief Adds processor time and resident memory of this process, under the standard Prometheus names.
    void addProcess();

    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, prometheus::MetricFamily, std::less<>> families_;

    prometheus::ClientMetric& add(std::string_view name, std::string_view help, Labels const& labels, prometheus::MetricType type);
};

} // namespace plantaindrift
