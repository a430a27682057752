#include "include/quetzal/settings/Node.h"

#include <QtNetwork/QHostAddress>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace quetzal::settings {
namespace {

constexpr const char* kEndpointForm = "an IP address and a port, such as 10.0.0.1:8080";

std::string
Describe(const std::string& aFile, int aLine, const std::string& aKey, const std::string& aExpected)
{
  std::ostringstream text;
  text << aFile << ':' << aLine << ": " << (aKey.empty() ? "(document)" : aKey) << ": expected "
       << aExpected;
  return text.str();
}

std::string
Join(const std::string& aPath, const std::string& aKey)
{
  return aPath.empty() ? aKey : aPath + "." + aKey;
}

bool
IsPrintableWord(const std::string& aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte > ' ' && aByte < '\x7f';
  });
}

std::string
RangeText(const std::string& aKind, double aMin, double aMax)
{
  std::ostringstream text;
  text.precision(15);
  text << aKind << " from " << aMin << " to " << aMax;
  return text.str();
}

} // namespace

SettingsError::SettingsError(std::string aFile, int aLine, std::string aKey, std::string aExpected)
  : std::runtime_error(Describe(aFile, aLine, aKey, aExpected))
  , file_(std::move(aFile))
  , line_(aLine)
  , key_(std::move(aKey))
  , expected_(std::move(aExpected))
{
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.address_ + ":" + std::to_string(aEndpoint.port_);
}

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    throw SettingsError(aFile, 0, "", "a readable file");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::optional<Endpoint>
ReadEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  const QHostAddress address(QString::fromStdString(aText.substr(0, colon)));
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 || address.isNull()) {
    return std::nullopt;
  }
  return Endpoint{ aText.substr(0, colon), port };
}

Endpoint
ParseEndpoint(const std::string& aKey, const std::string& aText)
{
  const auto endpoint = ReadEndpoint(aText);
  if (!endpoint) {
    throw SettingsError("command line", 1, aKey, kEndpointForm);
  }
  return *endpoint;
}

Node::Node(std::shared_ptr<const YAML::Node> aNode, std::string aFile, std::string aPath)
  : node_(std::move(aNode))
  , file_(std::move(aFile))
  , path_(std::move(aPath))
{
}

Node
Node::MakeFromText(const std::string& aText, const std::string& aFile)
{
  try {
    auto node = std::make_shared<YAML::Node>(YAML::Load(aText));
    if (!node->IsMap()) {
      throw SettingsError(aFile, 1, "", "a mapping of keys to values");
    }
    return { std::move(node), aFile, "" };
  } catch (const YAML::ParserException& error) {
    throw SettingsError(aFile, error.mark.line + 1, "", "valid YAML (" + error.msg + ")");
  }
}

Node
Node::MakeFromFile(const std::string& aFile)
{
  return MakeFromText(ReadFile(aFile), aFile);
}

int
Node::Line() const
{
  return node_->Mark().line + 1;
}

SettingsError
Node::Error(const std::string& aExpected) const
{
  return { file_, Line(), path_, aExpected };
}

std::optional<Node>
Node::Optional(const std::string& aKey) const
{
  if (!node_->IsMap()) {
    throw Error("a mapping of keys to values");
  }
  const YAML::Node& node = *node_;
  const YAML::Node child = node[aKey];
  if (!child.IsDefined() || child.IsNull()) {
    return std::nullopt;
  }
  return Node{ std::make_shared<YAML::Node>(child), file_, Join(path_, aKey) };
}

Node
Node::Required(const std::string& aKey) const
{
  auto child = Optional(aKey);
  if (!child) {
    throw SettingsError(file_, Line(), Join(path_, aKey), "a value (the key is required)");
  }
  return *child;
}

void
Node::AllowKeys(std::initializer_list<const char*> aKeys) const
{
  if (!node_->IsMap()) {
    throw Error("a mapping of keys to values");
  }
  std::set<std::string> seen;
  for (const auto& entry : *node_) {
    const std::string key = entry.first.as<std::string>("");
    const int line = entry.first.Mark().line + 1;
    if (std::find(aKeys.begin(), aKeys.end(), key) == aKeys.end()) {
      std::string known;
      for (const char* allowed : aKeys) {
        known += known.empty() ? allowed : std::string(", ") + allowed;
      }
      throw SettingsError(file_, line, Join(path_, key), "one of the keys " + known);
    }
    if (!seen.insert(key).second) {
      throw SettingsError(file_, line, Join(path_, key), "each key at most once");
    }
  }
}

std::vector<Node>
Node::Items(const std::string& aKey) const
{
  const auto list = Optional(aKey);
  if (!list) {
    return {};
  }
  if (!list->node_->IsSequence()) {
    throw list->Error("a list");
  }
  std::vector<Node> items;
  for (const auto& item : *list->node_) {
    const std::string path = list->path_ + "[" + std::to_string(items.size()) + "]";
    items.push_back(Node{ std::make_shared<YAML::Node>(item), file_, path });
  }
  return items;
}

std::string
Node::Text() const
{
  if (!node_->IsScalar()) {
    throw Error("a string");
  }
  return node_->Scalar();
}

std::string
Node::Name() const
{
  std::string text = Text();
  if (!IsPrintableWord(text)) {
    throw Error("a non-empty name of printable ASCII characters without spaces");
  }
  return text;
}

std::int64_t
Node::Integer(std::int64_t aMin, std::int64_t aMax) const
{
  std::int64_t value = 0;
  if (!node_->IsScalar() || !YAML::convert<std::int64_t>::decode(*node_, value) || value < aMin ||
      value > aMax) {
    throw Error(RangeText("a whole number", static_cast<double>(aMin), static_cast<double>(aMax)));
  }
  return value;
}

double
Node::Number(double aMin, double aMax) const
{
  double value = 0;
  if (!node_->IsScalar() || !YAML::convert<double>::decode(*node_, value) ||
      !(value >= aMin && value <= aMax)) {
    throw Error(RangeText("a number", aMin, aMax));
  }
  return value;
}

bool
Node::Boolean() const
{
  bool value = false;
  if (!node_->IsScalar() || !YAML::convert<bool>::decode(*node_, value)) {
    throw Error("true or false");
  }
  return value;
}

Endpoint
Node::Address() const
{
  const auto endpoint = ReadEndpoint(Text());
  if (!endpoint) {
    throw Error(kEndpointForm);
  }
  return *endpoint;
}

std::int64_t
Node::Integer(const std::string& aKey,
              std::int64_t aMin,
              std::int64_t aMax,
              std::int64_t aDefault) const
{
  const auto child = Optional(aKey);
  return child ? child->Integer(aMin, aMax) : aDefault;
}

std::chrono::milliseconds
Node::Milliseconds(const std::string& aKey,
                   std::chrono::milliseconds aMin,
                   std::chrono::milliseconds aMax,
                   std::chrono::milliseconds aDefault) const
{
  return std::chrono::milliseconds(Integer(aKey, aMin.count(), aMax.count(), aDefault.count()));
}

std::string
Node::Text(const std::string& aKey, const std::string& aDefault) const
{
  const auto child = Optional(aKey);
  return child ? child->Text() : aDefault;
}

} // namespace quetzal::settings
