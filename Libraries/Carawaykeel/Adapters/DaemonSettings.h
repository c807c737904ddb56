#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Instance/InstanceSettings.h>

#include <cstddef>
#include <string>

namespace Carawaykeel::Adapters {

/// Paths of the TLS certificate and key; empty paths select unencrypted connections.
struct TlsSettings
{
    std::string certificateFile;
    std::string privateKeyFile;

    bool isEnabled() const { return !certificateFile.empty(); }
};

/// A listening address with its TLS settings and access key.
struct ListenerSettings
{
    std::string address;
    TlsSettings tls;
    /// Empty for callers, whose keys are in the declaration.
    std::string key;
};

/// Limits on input from callers, backend servers and peers.
struct LimitSettings
{
    std::size_t bodyBytes = 4 * 1'024 * 1'024;
    std::size_t headerBytes = 32 * 1'024;
    std::size_t responseBytes = 16 * 1'024 * 1'024;
    std::size_t frameBytes = 8 * 1'024 * 1'024;
    int connections = 600;
    Base::Milliseconds receiveTimeout{10'000};
    Base::Milliseconds backendTimeout{60'000};
    Base::Milliseconds connectTimeout{500};
    /// How long a request may wait for a server.
    Base::Milliseconds queueTimeout{20'000};
    /// How long the end of a response waits for its bill to become durable.
    Base::Milliseconds billTimeout{30'000};
};

/// Connection settings of the platform.
struct PlatformSettings
{
    std::string address;
    std::string key;
    Base::Milliseconds timeout{1'000};
    int connections = 4;
    Base::Milliseconds vmListInterval{2'000};
    /// True if the VM list is reliable when it reports a VM as gone.
    bool isVmListAuthoritative = false;
};

/// Settings of one daemon.
struct DaemonSettings
{
    Instance::InstanceSettings instance;
    ListenerSettings callers;
    ListenerSettings operators;
    std::string peerKey;
    PlatformSettings platform;
    LimitSettings limits;
    Base::Milliseconds shutDownLimit{600'000};
};

} // namespace Carawaykeel::Adapters
