// Validates the headers of callers' requests.
#include "adapters/caller_http/request_parser.h"

#include "core/http_syntax.h"

#include <algorithm>
#include <charconv>

namespace balsamwheel::caller_http {

namespace {

constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusNotFound = 404;
constexpr std::uint16_t StatusTooLarge = 413;
constexpr std::uint16_t StatusUnavailable = 503;
/// Retry time sent to callers before the first configuration is loaded.
constexpr Duration NoConfigRetryAfter = std::chrono::milliseconds(500);

const std::string *findHeader(const RequestHead &Head, std::string_view Name) {
  for (const auto &[Key, Value] : Head.m_Headers)
    if (isSameName(Key, Name))
      return &Value;
  return nullptr;
}

std::vector<std::string_view> valuesOf(const RequestHead &Head,
                                       std::string_view Name) {
  std::vector<std::string_view> Result;
  for (const auto &[Key, Value] : Head.m_Headers)
    if (isSameName(Key, Name))
      Result.push_back(Value);
  return Result;
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view firstSegment(std::string_view Target) {
  std::string_view Path = pathOf(Target);
  if (!Path.starts_with('/'))
    return {};
  Path.remove_prefix(1);
  return Path.substr(0, Path.find('/'));
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [Stop, Error] = std::from_chars(Text.begin(), Text.end(), Value);
  if (Error != std::errc() || Stop != Text.end())
    return std::nullopt;
  return Value;
}

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < '\x7f'; });
}

/// Reads a number from a header; the default if the header is absent.
///
/// \returns none if the value is not a number from \p Min to \p Max.
std::optional<std::uint64_t> numberHeader(const RequestHead &Head,
                                          std::string_view Name,
                                          std::uint64_t Min, std::uint64_t Max,
                                          std::uint64_t Default) {
  const std::string *Text = findHeader(Head, Name);
  if (Text == nullptr)
    return Default;
  const std::optional<std::uint64_t> Value = parseNumber(*Text);
  if (!Value || *Value < Min || *Value > Max)
    return std::nullopt;
  return Value;
}

Refusal badRequest(std::string Detail) {
  return {.m_Status = StatusBadRequest, .m_Detail = std::move(Detail)};
}

/// Largest deadline and age that a header may state: one day.
constexpr std::uint64_t MaxDurationMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t MaxAttempt = 1'000'000;

const RequestClass *findClassByName(const Service &Target,
                                    std::string_view Name) {
  for (const RequestClass &Class : Target.m_Classes)
    if (Class.m_Name.value() == Name)
      return &Class;
  return nullptr;
}

/// Builds a ParsedRequest in steps. Each step returns a refusal, or none if the
/// request is valid so far.
class Parser {
public:
  Parser(const RequestHead &Head, const Config &ActiveConfig)
      : m_Head(Head), m_Config(ActiveConfig) {}

  std::optional<Refusal> checkFields() {
    for (const auto &[Name, Value] : m_Head.m_Headers)
      if (!isToken(Name) || !isFieldValue(Value))
        return badRequest("a header has an invalid name or value");
    return std::nullopt;
  }

  std::optional<Refusal> readService() {
    const std::string *Header = findHeader(m_Head, "Balsamwheel-Service");
    const std::string Name =
        Header ? *Header : std::string(firstSegment(m_Head.m_RequestTarget));
    m_Service = m_Config.m_Manifest.findService(ServiceName(Name));
    if (m_Service != nullptr) {
      m_Result.m_Meta.m_Service = m_Service->m_Name;
      m_Result.m_MaxBodyBytes = m_Service->m_MaxBodyBytes;
      return std::nullopt;
    }
    return Refusal{.m_Status = StatusNotFound,
                   .m_Reason = Reason::UnknownService,
                   .m_Detail = "no service named '" + Name + "'"};
  }

  std::optional<Refusal> readKey() {
    const std::string *Header = findHeader(m_Head, "Balsamwheel-Key");
    const std::string Key =
        Header ? *Header : m_Head.m_QueryKey.value_or(std::string());
    if (Key.size() > MaxKeyLength)
      return badRequest("the key is longer than " +
                        std::to_string(MaxKeyLength) + " bytes");
    if (!m_Service->m_DividedByKey)
      return std::nullopt;
    if (Key.empty())
      return badRequest("the service needs a key: header Balsamwheel-Key or "
                        "query parameter 'key'");
    m_Result.m_Meta.m_Key = Key;
    return std::nullopt;
  }

  std::optional<Refusal> readClass() {
    const std::string *Name = findHeader(m_Head, "Balsamwheel-Class");
    const RequestClass *Class =
        Name ? findClassByName(*m_Service, *Name)
             : &matchClass(*m_Service, m_Head.m_Method,
                           pathOf(m_Head.m_RequestTarget));
    if (Class == nullptr)
      return badRequest("the service has no class '" + *Name + "'");
    m_Result.m_Meta.m_Class = Class->m_Name;
    m_Result.m_Meta.m_Idempotent = Class->m_Idempotent;
    m_Result.m_Urgency = Class->m_Urgency;
    m_Result.m_TimeLeft = Class->m_Deadline;
    return std::nullopt;
  }

  std::optional<Refusal> readDeadline() {
    const auto Deadline = numberHeader(m_Head, "Balsamwheel-Deadline-Ms", 1,
                                       MaxDurationMs, MaxDurationMs);
    if (!Deadline)
      return badRequest("Balsamwheel-Deadline-Ms must be a whole number of "
                        "milliseconds of at least 1");
    const Duration Requested = std::chrono::milliseconds(*Deadline);
    m_Result.m_TimeLeft = std::min(m_Result.m_TimeLeft, Requested);
    return std::nullopt;
  }

  std::optional<Refusal> readIdentity(const RequestId &GeneratedId) {
    const std::string *Id = findHeader(m_Head, "Balsamwheel-Request-Id");
    if (Id != nullptr &&
        (Id->empty() || Id->size() > MaxRequestIdLength || !isPrintable(*Id)))
      return badRequest("Balsamwheel-Request-Id must have 1 to " +
                        std::to_string(MaxRequestIdLength) +
                        " printable characters");
    m_Result.m_Meta.m_Id = Id ? RequestId(*Id) : GeneratedId;
    const auto Attempt =
        numberHeader(m_Head, "Balsamwheel-Attempt", 1, MaxAttempt, 1);
    if (!Attempt)
      return badRequest("Balsamwheel-Attempt must be a whole number of at "
                        "least 1");
    const auto Age = numberHeader(m_Head, "Balsamwheel-First-Attempt-Age-Ms", 0,
                                  MaxDurationMs, 0);
    if (!Age)
      return badRequest("Balsamwheel-First-Attempt-Age-Ms must be a whole "
                        "number of milliseconds");
    if (*Attempt > 1 && Id == nullptr)
      return badRequest("a repeated attempt needs its Balsamwheel-Request-Id");
    m_Result.m_Meta.m_Attempt = static_cast<std::uint32_t>(*Attempt);
    m_Result.m_Meta.m_FirstAttemptAge = std::chrono::milliseconds(*Age);
    return std::nullopt;
  }

  std::optional<Refusal> readBodyLength() {
    const auto Codings = valuesOf(m_Head, "Transfer-Encoding");
    const auto Lengths = valuesOf(m_Head, "Content-Length");
    if (!Codings.empty()) {
      if (Codings.size() > 1 || !isChunked(Codings.front()))
        return badRequest("the only transfer coding supported is chunked");
      if (!Lengths.empty())
        return badRequest("Content-Length and Transfer-Encoding exclude each "
                          "other");
      return std::nullopt;
    }
    if (Lengths.empty()) {
      m_Result.m_BodyLength = 0;
      return std::nullopt;
    }
    m_Result.m_BodyLength = parseContentLength(Lengths.front());
    if (!m_Result.m_BodyLength)
      return badRequest("Content-Length is no number");
    if (std::any_of(Lengths.begin(), Lengths.end(), [&](std::string_view Each) {
          return Each != Lengths.front();
        }))
      return badRequest("Content-Length has several values");
    if (*m_Result.m_BodyLength > m_Result.m_MaxBodyBytes)
      return Refusal{.m_Status = StatusTooLarge,
                     .m_Detail = "the body is larger than " +
                                 std::to_string(m_Result.m_MaxBodyBytes) +
                                 " bytes"};
    return std::nullopt;
  }

  ParsedRequest take() { return std::move(m_Result); }

private:
  const RequestHead &m_Head;
  const Config &m_Config;
  const Service *m_Service = nullptr;
  ParsedRequest m_Result;
};

} // namespace

const RequestClass &matchClass(const Service &Target, std::string_view Method,
                               std::string_view Path) {
  const RequestClass *Best = &Target.m_Classes.front();
  std::size_t BestLength = 0;
  for (const RequestClass &Class : Target.m_Classes) {
    for (const std::string_view Pattern : Class.m_Match) {
      const std::size_t Space = Pattern.find(' ');
      if (Space == std::string_view::npos || Pattern.substr(0, Space) != Method)
        continue;
      const std::string_view Prefix = Pattern.substr(Space + 1);
      if (!Path.starts_with(Prefix) || Prefix.size() <= BestLength)
        continue;
      Best = &Class;
      BestLength = Prefix.size();
    }
  }
  return *Best;
}

std::variant<ParsedRequest, Refusal>
parseRequest(const RequestHead &Head, const Config *ActiveConfig,
             const RequestId &GeneratedId) {
  if (ActiveConfig == nullptr)
    return Refusal{.m_Status = StatusUnavailable,
                   .m_Outcome = Outcome::Wait,
                   .m_Reason = Reason::NoOwner,
                   .m_Detail = "no configuration is known yet",
                   .m_RetryAfter = NoConfigRetryAfter};
  Parser Steps(Head, *ActiveConfig);
  if (auto Problem = Steps.checkFields())
    return *Problem;
  if (auto Problem = Steps.readService())
    return *Problem;
  if (auto Problem = Steps.readKey())
    return *Problem;
  if (auto Problem = Steps.readClass())
    return *Problem;
  if (auto Problem = Steps.readDeadline())
    return *Problem;
  if (auto Problem = Steps.readIdentity(GeneratedId))
    return *Problem;
  if (auto Problem = Steps.readBodyLength())
    return *Problem;
  return Steps.take();
}

} // namespace balsamwheel::caller_http
