#pragma once

namespace mangoshift::soak {

// Ports and numbers of the loopback addresses of a run, 127.NETWORK.SUBNET.HOST.

inline constexpr int StorePort = 8102;
/// Where the store and the targets accept commands.
inline constexpr int StandInControlPort = 8103;
inline constexpr int CallerPort = 8104;
inline constexpr int PeerPort = 8106;
inline constexpr int ReadyPort = 8108;
inline constexpr int OperatorPort = 7380;
inline constexpr int RelayControlPort = 7400;
inline constexpr int TargetPort = 8080;
// Subnets, the third numbers of the addresses.
inline constexpr int StoreSubnet = 0;
inline constexpr int VmSubnet = 1;
inline constexpr int VmRelaySubnet = 2;
inline constexpr int FirstTargetSubnet = 10;
inline constexpr int FirstTargetRelaySubnet = 20;
// Last numbers of the control addresses in the subnets of the targets and of their relays.
inline constexpr int ShardControlHost = 250;
inline constexpr int PooledControlHost = 251;
inline constexpr int RelayControlHost = 252;

} // namespace mangoshift::soak
