#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Instance/InstanceSettings.h>

#include <cstddef>
#include <string>

namespace Carawaykeel::Adapters {

/// Where TLS material lies; empty paths mean plain connections.
struct TlsSettings
{
    std::string certificateFile;
    std::string privateKeyFile;

    bool isEnabled() const { return !certificateFile.empty(); }
};

/// A listening address with what protects it.
struct ListenerSettings
{
    std::string address;
    TlsSettings tls;
    /// Empty for callers, whose keys are declared.
    std::string key;
};

/// Bounds on everything that comes from outside.
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
    /// How long the end of an answer waits for its bill to be safe.
    Base::Milliseconds billTimeout{30'000};
};

/// How the platform is reached.
struct PlatformSettings
{
    std::string address;
    std::string key;
    Base::Milliseconds timeout{1'000};
    int connections = 4;
    Base::Milliseconds vmListInterval{2'000};
    /// True when the list of VMs is right once it says that a VM is gone.
    bool isVmListAuthoritative = false;
};

/// Everything that one daemon is set up with.
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
