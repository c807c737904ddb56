#pragma once

#include <Poco/Net/MessageHeader.h>

namespace Carawaykeel::Http {

/// Removes the hop-by-hop fields: the standard ones and those that the Connection field names.
/// Keeps the framing fields.
void removeHopByHopFields(Poco::Net::MessageHeader &head);

/// Removes the framing fields, which determine where the body ends.
void removeFramingFields(Poco::Net::MessageHeader &head);

} // namespace Carawaykeel::Http
