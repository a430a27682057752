#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace YAML {
class Node;
}

/** Validated reading of YAML: each error names file, line, key and what was expected. */
namespace quetzal::settings {

/** Reports a value that does not meet the requirements of its key. */
class SettingsError : public std::runtime_error
{
public:
  /** @param aLine counts from 1; 0 if the file could not be read. */
  SettingsError(std::string aFile, int aLine, std::string aKey, std::string aExpected);

  const std::string& File() const { return file_; }
  int Line() const { return line_; }
  const std::string& Key() const { return key_; }
  const std::string& Expected() const { return expected_; }

private:
  std::string file_;
  int line_;
  std::string key_;
  std::string expected_;
};

/** An IP address and a TCP port. */
struct Endpoint
{
  std::string address_;
  std::uint16_t port_ = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/** Returns "address:port". */
std::string
ToString(const Endpoint& aEndpoint);

/** Returns a file's bytes. @throws SettingsError if the file cannot be read. */
std::string
ReadFile(const std::string& aFile);

/** Reads an IP address and a port, such as "10.0.0.1:8080". */
std::optional<Endpoint>
ReadEndpoint(const std::string& aText);

/** Parses an address and port given on the command line. @param aKey the option, for errors.
 * @throws SettingsError. */
Endpoint
ParseEndpoint(const std::string& aKey, const std::string& aText);

/** One value of a YAML file with its position. Every getter throws SettingsError if the value
 * does not have the required type, form or range. */
class Node
{
public:
  /** Parses YAML text. @param aFile the file name, used in errors only. */
  static Node MakeFromText(const std::string& aText, const std::string& aFile);

  /** Reads and parses a file. */
  static Node MakeFromFile(const std::string& aFile);

  /** Returns the value of a key that must be present. */
  Node Required(const std::string& aKey) const;

  /** Returns the value of a key, or nothing if the key is absent. */
  std::optional<Node> Optional(const std::string& aKey) const;

  /** Throws unless this is a mapping that holds only the given keys, each at most once. */
  void AllowKeys(std::initializer_list<const char*> aKeys) const;

  /** Returns the items of the list at @p aKey; none if the key is absent. */
  std::vector<Node> Items(const std::string& aKey) const;

  /** Returns a non-empty string of printable ASCII characters without spaces. */
  std::string Name() const;
  std::string Text() const;
  std::int64_t Integer(std::int64_t aMin, std::int64_t aMax) const;
  double Number(double aMin, double aMax) const;
  bool Boolean() const;
  Endpoint Address() const;

  std::string Name(const std::string& aKey) const { return Required(aKey).Name(); }
  std::int64_t Integer(const std::string& aKey,
                       std::int64_t aMin,
                       std::int64_t aMax,
                       std::int64_t aDefault) const;
  std::chrono::milliseconds Milliseconds(const std::string& aKey,
                                         std::chrono::milliseconds aMin,
                                         std::chrono::milliseconds aMax,
                                         std::chrono::milliseconds aDefault) const;
  std::string Text(const std::string& aKey, const std::string& aDefault) const;

  /** Returns an error with this value's position. @param aExpected the text that
   * follows "expected" in the error. */
  SettingsError Error(const std::string& aExpected) const;

private:
  Node(std::shared_ptr<const YAML::Node> aNode, std::string aFile, std::string aPath);

  int Line() const;

  std::shared_ptr<const YAML::Node> node_;
  std::string file_;
  std::string path_;
};

} // namespace quetzal::settings
