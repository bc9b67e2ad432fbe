#pragma once

#include "duties/messages.h"
#include "wire/framecodec.h"

namespace mangoshift {

wire::CapacityReportT toWire(const CapacityObservations &report);
wire::CapacityNewsT toWire(const CapacityOutlooks &outlooks);
/// Leaves out what cannot be, and what exceeds `CapacityRecorder::MaxReported` observations.
CapacityObservations fromWire(const wire::CapacityReportT &report);
/// Leaves out what cannot be, and what exceeds `CapacityPool::MaxNews` outlooks.
CapacityOutlooks fromWire(const wire::CapacityNewsT &news);

} // namespace mangoshift
