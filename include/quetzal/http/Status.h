#pragma once

/** HTTP status codes (RFC 9110, section 15). */
namespace quetzal::http::status {

inline constexpr unsigned kSwitchingProtocols = 101;
inline constexpr unsigned kOk = 200;
inline constexpr unsigned kFirstRedirect = 300;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kForbidden = 403;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kMethodNotAllowed = 405;
inline constexpr unsigned kRequestTimeout = 408;
inline constexpr unsigned kConflict = 409;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kPreconditionFailed = 412;
inline constexpr unsigned kBodyTooLarge = 413;
inline constexpr unsigned kMisdirectedRequest = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kHeaderTooLarge = 431;
inline constexpr unsigned kFirstServerError = 500;
inline constexpr unsigned kServiceUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

} // namespace quetzal::http::status
