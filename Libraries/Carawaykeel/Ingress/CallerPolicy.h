#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Ingress/CallerRefusals.h>
#include <Carawaykeel/Ingress/DescriptorBudget.h>

#include <cstddef>
#include <string>

namespace Carawaykeel::Ingress {

/// Limits that a listener adds to those of the configuration.
struct CallerPolicy
{
    /// Name of the address in log lines and metrics.
    std::string address = "callers";
    /// Maximum number of connections.
    std::size_t maxConnections = 3'000;
    /// A caller that takes nothing of a stream for this long, while its server waits, is closed.
    /// Servers cut connections that are left unread for some seconds.
    Base::Milliseconds unreadTimeout{2'000};
    /// Set if the connections share the process's descriptors with those to servers.
    DescriptorBudget *descriptors = nullptr;
    CallerRefusals *refusals = nullptr;
};

} // namespace Carawaykeel::Ingress
