#include "include/quetzal/jobs/RecordCell.h"

#include <msgpack.hpp>

namespace quetzal::jobs {
namespace {

/** Reads the first element of an array, which must be a string, and then ends the parsing. The
 * parser requires the names of the functions. */
struct FirstElementVisitor : msgpack::null_visitor
{
  bool start_array(std::uint32_t /*aSize*/) // NOLINT
  {
    return arrays_++ == 0;
  }
  bool start_map(std::uint32_t /*aSize*/) // NOLINT
  {
    return false;
  }
  bool visit_str(const char* aText, std::uint32_t aSize) // NOLINT
  {
    if (arrays_ > 0) {
      text_.emplace(aText, aSize);
    }
    return true;
  }
  bool end_array_item() // NOLINT
  {
    return false;
  }

  int arrays_ = 0;
  std::optional<std::string> text_;
};

} // namespace

std::optional<std::string>
CellOf(const std::string& aBytes)
{
  FirstElementVisitor visitor;
  std::size_t offset = 0;
  try {
    msgpack::parse(aBytes.data(), aBytes.size(), offset, visitor);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return visitor.text_;
}

} // namespace quetzal::jobs
