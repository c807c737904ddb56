#pragma once

#include <Poco/Net/MessageHeader.h>

namespace Carawaykeel::Http {

/// Removes the fields that concern only one connection: the standard ones, and those that the
/// Connection field names. The framing fields stay.
void removeHopByHopFields(Poco::Net::MessageHeader &head);

/// Removes the fields that say where the body ends.
void removeFramingFields(Poco::Net::MessageHeader &head);

} // namespace Carawaykeel::Http
