#pragma once

/** Statuses of HTTP answers (RFC 9110, 15). */
namespace quetzal::http::status {

inline constexpr unsigned kSwitchingProtocols = 101;
inline constexpr unsigned kOk = 200;
inline constexpr unsigned kFirstRedirect = 300;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kNotAllowed = 405;
inline constexpr unsigned kTimeout = 408;
inline constexpr unsigned kConflict = 409;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kConditionFailed = 412;
inline constexpr unsigned kBodyTooLarge = 413;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kTooMany = 429;
inline constexpr unsigned kHeaderTooLarge = 431;
inline constexpr unsigned kFirstServerError = 500;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

} // namespace quetzal::http::status
