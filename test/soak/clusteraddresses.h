#pragma once

namespace mangoshift::soak {

// The ports and the third and last numbers of the addresses of a run.

inline constexpr int StorePort = 8102;
inline constexpr int StandInControlPort = 8103;
inline constexpr int CallerPort = 8104;
inline constexpr int PeerPort = 8106;
inline constexpr int ReadyPort = 8108;
inline constexpr int OperatorPort = 7380;
inline constexpr int RelayControlPort = 7400;
inline constexpr int TargetPort = 8080;
/// Third numbers of the addresses.
inline constexpr int StoreNetwork = 0;
inline constexpr int VmNetwork = 1;
inline constexpr int VmRelayNetwork = 2;
inline constexpr int FirstTargetNetwork = 10;
inline constexpr int FirstTargetRelayNetwork = 20;
/// Last numbers of the addresses at which orders are taken.
inline constexpr int ShardControlHost = 250;
inline constexpr int PooledControlHost = 251;
inline constexpr int RelayControlHost = 252;

} // namespace mangoshift::soak
