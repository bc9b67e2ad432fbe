#pragma once

#include <string_view>

#include "mangoshift/document.h"

namespace mangoshift {

/// Returns the shard of `service` that holds `key`. Uses a rendezvous hash over the shards' names,
/// so that adding a shard moves no keys between the existing ones. If the service has only one
/// shard, returns that shard for any key. Returns a null pointer if the service has no shards, or
/// if `key` is empty and there are several.
const Shard *pickShard(const Service &service, std::string_view key);

} // namespace mangoshift
