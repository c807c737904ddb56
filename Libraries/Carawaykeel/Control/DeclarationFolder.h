#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Configuration/DeclarationParser.h>

#include <map>
#include <string>

namespace Carawaykeel::Control {

/// The validated contents of a folder of declarations, which operators keep in version control.
struct DeclarationFolder
{
    /// The document that is applied to the fleet, made of rules and inventory.
    std::string document;
    Configuration::ParsedDeclaration parsed;
};

/// Reads rules.json and inventory.json of a folder. Fails with InvalidDeclaration if a file cannot
/// be read or is invalid.
Base::Result<DeclarationFolder> tryReadDeclarationFolder(const std::string &folder);

/// Returns every value of a document by its path, to compare two documents.
std::map<std::string, std::string> flattenDocument(const std::string &document);

} // namespace Carawaykeel::Control
