#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Forwarding/PromptReport.h>

#include <span>

namespace Carawaykeel::Ingress {

/// Sends prompt reports to other instances.
class PromptReportTransport
{
public:
    virtual ~PromptReportTransport() = default;

    virtual void sendToAll(std::span<const Forwarding::PromptReport> reports) = 0;
    virtual void sendToSome(std::span<const Forwarding::PromptReport> reports) = 0;
    virtual void sendTo(
        const Base::InstanceName &to, std::span<const Forwarding::PromptReport> reports) = 0;
};

} // namespace Carawaykeel::Ingress
