#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Configuration/DeclarationParser.h>

#include <map>
#include <string>

namespace Carawaykeel::Control {

/// A folder of declarations in version control, read and checked.
struct DeclarationTree
{
    /// The one document that is offered to the fleet.
    std::string document;
    Configuration::ParsedDeclaration parsed;
};

/// Reads rules.json and inventory.json of a folder. Fails with InvalidDeclaration when a file
/// cannot be read or does not hold.
Base::Result<DeclarationTree> tryReadTree(const std::string &folder);

/// Every value of a document under its path, for comparing two documents.
std::map<std::string, std::string> flatten(const std::string &document);

} // namespace Carawaykeel::Control
