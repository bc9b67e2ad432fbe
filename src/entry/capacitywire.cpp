#include "entry/capacitywire.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

#include "mangoshift/capacitypool.h"
#include "mangoshift/capacityrecorder.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

constexpr double Thousand = 1000.0;
constexpr double Percent = 100.0;
constexpr double Tenths = 10.0;

template <typename Number>
Number bounded(double number)
{
    constexpr auto least = static_cast<double>(std::numeric_limits<Number>::min());
    constexpr auto most = static_cast<double>(std::numeric_limits<Number>::max());
    return std::isfinite(number) ? static_cast<Number>(std::clamp(number, least, most)) : Number();
}

std::uint16_t wireAge(milliseconds age)
{
    return bounded<std::uint16_t>(static_cast<double>(age.count()));
}

/// Returns whether a logarithm of slowness is within what VMs send.
bool isPlausible(std::int16_t logSlownessMilli)
{
    return std::abs(logSlownessMilli / Thousand) <= std::log(TargetOutlook::MaxSlowness) + 0.001;
}

} // namespace

wire::CapacityReportT toWire(const CapacityObservations &report)
{
    wire::CapacityReportT result;
    for (const TargetObservation &each : report.targets)
        result.observations.emplace_back(
            each.target, bounded<std::int16_t>(std::round(each.logSlowness * Thousand)),
            wireAge(each.age), bounded<std::uint8_t>(each.answers),
            bounded<std::uint8_t>(each.lost), bounded<std::uint8_t>(each.overdue));
    return result;
}

wire::CapacityNewsT toWire(const CapacityOutlooks &outlooks)
{
    wire::CapacityNewsT result;
    for (const TargetOutlook &each : outlooks.targets)
        result.outlooks.emplace_back(
            each.target, bounded<std::int16_t>(std::round(std::log(each.slowness) * Thousand)),
            wireAge(each.age), bounded<std::uint8_t>(std::round(each.lossRate * Percent)),
            bounded<std::uint8_t>(std::round(each.weight * Tenths)), each.isUnresponsive);
    return result;
}

CapacityObservations fromWire(const wire::CapacityReportT &report)
{
    CapacityObservations result;
    for (const wire::TargetObservation &each : report.observations) {
        if (result.targets.size() == CapacityRecorder::MaxReported)
            break;
        const TargetObservation observation{
            each.target(), each.answers(), each.log_slowness_milli() / Thousand,
            each.lost(),   each.overdue(), milliseconds(each.age_ms())};
        if (isPlausible(each.log_slowness_milli()) && observation.age < TargetOutlook::Lifetime)
            result.targets.push_back(observation);
    }
    return result;
}

CapacityOutlooks fromWire(const wire::CapacityNewsT &news)
{
    CapacityOutlooks result;
    for (const wire::TargetOutlook &each : news.outlooks) {
        if (result.targets.size() == CapacityPool::MaxNews)
            break;
        const TargetOutlook outlook{each.target(),
                                    std::exp(each.log_slowness_milli() / Thousand),
                                    each.loss_percent() / Percent,
                                    each.weight_tenths() / Tenths,
                                    each.unresponsive(),
                                    milliseconds(each.age_ms())};
        if (isPlausible(each.log_slowness_milli()) && outlook.lossRate <= 1.0
            && outlook.age < TargetOutlook::Lifetime)
            result.targets.push_back(outlook);
    }
    return result;
}

} // namespace mangoshift
