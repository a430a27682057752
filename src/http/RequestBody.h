#pragma once

#include <algorithm>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace quetzal::http {

/** A Beast body that allocates memory as content arrives. Beast's own string body allocates the
 * announced length at once, so that a caller who only announces bodies would occupy memory. */
struct RequestBody
{
  using value_type = std::string; // NOLINT(readability-identifier-naming): required by Beast

  // NOLINTNEXTLINE(readability-identifier-naming): required by Beast
  class reader
  {
  public:
    template<bool kIsRequest, class HeaderFields>
    reader(boost::beast::http::header<kIsRequest, HeaderFields>& /*aHeader*/, value_type& aBody)
      : body_(aBody)
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming): required by Beast
    void init(const boost::optional<std::uint64_t>& aLength, boost::system::error_code& aError)
    {
      announced_ = aLength ? static_cast<std::size_t>(*aLength) : 0;
      aError = {};
    }

    template<class Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming): required by Beast
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      const std::size_t size = boost::beast::buffer_bytes(aBuffers);
      Reserve(body_.size() + size);
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      aError = {};
      return size;
    }

    // NOLINTNEXTLINE(readability-identifier-naming): required by Beast
    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    /** Doubles the capacity, but not beyond the announced length. */
    void Reserve(std::size_t aSize)
    {
      if (aSize <= body_.capacity()) {
        return;
      }
      const std::size_t doubled = std::max(2 * body_.capacity(), aSize);
      const std::size_t wanted = announced_ > 0 ? std::min(doubled, announced_) : doubled;
      body_.reserve(std::max(wanted, aSize));
    }

    value_type& body_;
    std::size_t announced_ = 0;
  };
};

} // namespace quetzal::http
