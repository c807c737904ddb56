#include <Carawaykeel/Control/DeclarationFolder.h>

#include <Carawaykeel/Configuration/BlankComments.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/core.h>
#include <fstream>
#include <iterator>
#include <utility>

namespace Carawaykeel::Control {

namespace {

Base::Result<std::string> tryReadFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return Base::fail(Base::ErrorKind::InvalidDeclaration,
            file + ": (document): expected a file that can be read");
    }
    return std::string{std::istreambuf_iterator<char>(stream), {}};
}

/// Returns the path component of a list element: its id or name if it has one, so that a diff does
/// not depend on the order of the list.
std::string elementName(const Poco::Dynamic::Var &value, std::size_t n)
{
    if (value.type() != typeid(Poco::JSON::Object::Ptr))
        return std::to_string(n);
    const auto &object = value.extract<Poco::JSON::Object::Ptr>();
    for (const auto *key : {"id", "name"}) {
        if (object->has(key))
            return object->get(key).toString();
    }
    return std::to_string(n);
}

void flattenInto(std::map<std::string, std::string> &flat, const std::string &path,
    const Poco::Dynamic::Var &value)
{
    if (value.type() == typeid(Poco::JSON::Object::Ptr)) {
        const auto &object = value.extract<Poco::JSON::Object::Ptr>();
        for (const auto &name : object->getNames())
            flattenInto(flat, path.empty() ? name : path + "." + name, object->get(name));
        return;
    }
    if (value.type() == typeid(Poco::JSON::Array::Ptr)) {
        const auto &array = value.extract<Poco::JSON::Array::Ptr>();
        for (std::size_t n = 0; n < array->size(); ++n) {
            const auto item = array->get(static_cast<unsigned>(n));
            flattenInto(flat, fmt::format("{}[{}]", path, elementName(item, n)), item);
        }
        return;
    }
    flat.emplace(path, value.isEmpty() ? "null" : value.toString());
}

} // namespace

Base::Result<DeclarationFolder> tryReadDeclarationFolder(const std::string &folder)
{
    BOOST_LEAF_AUTO(rules, tryReadFile(folder + "/rules.json"));
    BOOST_LEAF_AUTO(inventory, tryReadFile(folder + "/inventory.json"));
    DeclarationFolder declarations;
    declarations.document = "{\"rules\":\n" + rules + "\n,\"inventory\":\n" + inventory + "\n}";
    declarations.parsed = Configuration::parseDeclaration(declarations.document);
    if (!declarations.parsed.errors.empty()) {
        return Base::fail(Base::ErrorKind::InvalidDeclaration,
            Configuration::formatErrors(declarations.parsed.errors, folder));
    }
    return declarations;
}

std::map<std::string, std::string> flattenDocument(const std::string &document)
{
    std::map<std::string, std::string> flat;
    if (document.empty())
        return flat;
    Poco::JSON::Parser parser;
    flattenInto(flat, "", parser.parse(Configuration::blankComments(document)));
    return flat;
}

} // namespace Carawaykeel::Control
