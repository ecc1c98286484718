// Fields, ranges and cross-field checks of the settings file.
#include "daemon/settings.h"

#include "adapters/http_server/listen_address.h"
#include "daemon/section_reader.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace balsamwheel::daemon {

namespace {

/// Upper limits of most fields: one hour, and a count.
constexpr std::int64_t MaxMs = 3'600'000;
constexpr std::int64_t MaxCount = 1'000'000;

std::string checkAddress(const std::string &Text) {
  return http_server::parseListenAddress(Text)
             ? std::string()
             : "must be an IPv4 address and a port, such as 127.0.0.1:7000";
}

constexpr std::string_view UrlScheme = "http://";

std::string checkUrl(const std::string &Text) {
  return Text.starts_with(UrlScheme) &&
                 checkAddress(Text.substr(UrlScheme.size())).empty()
             ? std::string()
             : "must be a URL such as http://127.0.0.1:7000";
}

void readPlatform(SectionReader &In, Settings &Out) {
  std::string Url(UrlScheme);
  In.text("platform", Url, true, checkUrl);
  Out.m_PlatformAddress = Url.substr(UrlScheme.size());
}

void readLog(SectionReader &In, Settings &Out) {
  using Levels = std::vector<std::pair<std::string, std::string>>;
  In.choice("level", Out.m_LogLevel,
            Levels{{"debug", "debug"},
                   {"info", "info"},
                   {"warn", "warn"},
                   {"error", "error"}});
  using Formats = std::vector<std::pair<std::string, LogFormat>>;
  In.text("file", Out.m_LogFile);
  In.choice("format", Out.m_LogFormat,
            Formats{{"text", LogFormat::Text}, {"json", LogFormat::Json}});
}

void readLimits(SectionReader &In, Settings &Out) {
  In.milliseconds("platform_timeout_ms", Out.m_PlatformTimeout, 10, MaxMs);
  In.integer("caller_connections", Out.m_CallerConnections, 1, 60'000);
  In.integer("peer_connections", Out.m_PeerConnections, 1, 60'000);
  In.milliseconds("target_silence_ms", Out.m_TargetSilence, 100, MaxMs);
  In.milliseconds("shutdown_ms", Out.m_ShutdownLimit, 100, MaxMs);
  In.milliseconds("outcome_memory_ms", Out.m_Node.m_OutcomeMemory, 1000, MaxMs);
  In.integer("outcomes", Out.m_Node.m_OutcomeLimit, 1, 10 * MaxCount);
  In.milliseconds("receipt_timeout_ms", Out.m_Node.m_ReceiptTimeout, 1, MaxMs);
}

void readCoordination(SectionReader &In, CoordinatorOptions &Out) {
  CoordinationTiming &Timing = Out.m_Timing;
  In.milliseconds("heartbeat_ms", Timing.m_HeartbeatPeriod, 10, MaxMs);
  In.milliseconds("lease_ms", Timing.m_Lease, 50, MaxMs);
  In.milliseconds("lease_margin_ms", Timing.m_LeaseMargin, 1, MaxMs);
  In.milliseconds("order_margin_ms", Timing.m_OrderMargin, 1, MaxMs);
  In.milliseconds("ack_timeout_ms", Timing.m_AckTimeout, 1, MaxMs);
  In.milliseconds("head_poll_ms", Timing.m_HeadPollPeriod, 10, MaxMs);
  In.milliseconds("domain_out_grace_ms", Timing.m_DomainOutGrace, 0, MaxMs);
  In.integer("group_size", Out.m_GroupSize, 1, 64);
}

void readAdmission(SectionReader &In, AdmissionOptions &Out) {
  In.integer("reserved_urgent", Out.m_ReservedUrgent, 0, MaxCount);
  In.integer("reserved_interactive", Out.m_ReservedInteractive, 0, MaxCount);
  In.integer("cold_slots", Out.m_ColdSlots, 1, MaxCount);
}

void readPolicy(SectionReader &In, NodeOptions &Out) {
  using Modes = std::vector<std::pair<std::string, HandoverMode>>;
  In.choice("handover", Out.m_Coordinator.m_Handover,
            Modes{{"switch-then-resolve", HandoverMode::SwitchThenResolve},
                  {"drain-then-switch", HandoverMode::DrainThenSwitch}});
  In.flag("witnesses", Out.m_Coordinator.m_UseWitnesses);
  using Gates = std::vector<std::pair<std::string, bool>>;
  In.choice("gate", Out.m_Admission.m_Adaptive,
            Gates{{"adaptive", true}, {"fixed", false}});
  using Policies = std::vector<std::pair<std::string, PickPolicy>>;
  In.choice("picker", Out.m_Picker.m_Policy,
            Policies{{"two-choices", PickPolicy::TwoChoices},
                     {"least-loaded", PickPolicy::LeastLoaded},
                     {"round-robin", PickPolicy::RoundRobin},
                     {"random", PickPolicy::Random}});
  In.flag("hedge", Out.m_Picker.m_Hedge);
  In.real("hedge_budget", Out.m_Picker.m_HedgeBudget, 0, 1);
}

void readRetry(SectionReader &In, RetryBudgetOptions &Out) {
  In.real("ratio", Out.m_Ratio, 0, 1);
  In.real("burst", Out.m_Burst, 0, static_cast<double>(MaxCount));
  In.milliseconds("base_delay_ms", Out.m_BaseDelay, 1, MaxMs);
  In.milliseconds("max_delay_ms", Out.m_MaxDelay, 1, MaxMs);
}

/// Reads a name into its strong type.
template <typename Name>
void readName(SectionReader &In, const char *Field, Name &Target) {
  std::string Text;
  In.text(Field, Text, true);
  Target = Name(Text);
}

Settings readAll(SectionReader &In) {
  Settings Out;
  readName(In, "instance", Out.m_Instance);
  readName(In, "domain", Out.m_Domain);
  readName(In, "region", Out.m_Region);
  In.text("peer_address", Out.m_PeerListen, true, checkAddress);
  Out.m_PeerAdvertised = Out.m_PeerListen;
  In.text("peer_advertised", Out.m_PeerAdvertised, false, checkAddress);
  In.text("caller_address", Out.m_CallerListen, true, checkAddress);
  In.text("target_address", Out.m_TargetListen, true, checkAddress);
  In.text("admin_address", Out.m_AdminListen, true, checkAddress);
  readPlatform(In, Out);
  In.section("log", [&](SectionReader &Section) { readLog(Section, Out); });
  In.section("limits",
             [&](SectionReader &Section) { readLimits(Section, Out); });
  NodeOptions &Node = Out.m_Node;
  In.section("coordination", [&](SectionReader &Section) {
    readCoordination(Section, Node.m_Coordinator);
  });
  In.section("admission", [&](SectionReader &Section) {
    readAdmission(Section, Node.m_Admission);
  });
  In.section("policy",
             [&](SectionReader &Section) { readPolicy(Section, Node); });
  In.section("retry",
             [&](SectionReader &Section) { readRetry(Section, Node.m_Retry); });
  In.finish();
  Node.m_Coordinator.m_Instance = Out.m_Instance;
  Node.m_Coordinator.m_Domain = Out.m_Domain;
  Node.m_Coordinator.m_Region = Out.m_Region;
  Node.m_Coordinator.m_Peer = PeerAddress(Out.m_PeerAdvertised);
  Node.m_Coordinator.m_CallerAddress = Out.m_CallerListen;
  Node.m_Coordinator.m_AdminAddress = Out.m_AdminListen;
  return Out;
}

/// Checks conditions that involve several fields.
void checkFieldRelations(const Settings &Given, ReadContext &Context) {
  const CoordinationTiming &Timing = Given.m_Node.m_Coordinator.m_Timing;
  const auto AddError = [&Context](const char *Field, const char *Reason) {
    Context.m_Errors.push_back({.m_File = Context.m_File,
                                .m_Line = 1,
                                .m_Field = Field,
                                .m_Reason = Reason});
  };
  if (Timing.m_Lease < 2 * Timing.m_HeartbeatPeriod)
    AddError("coordination.lease_ms",
             "must be at least twice coordination.heartbeat_ms");
  if (Timing.m_OrderMargin >= Timing.m_Lease)
    AddError("coordination.order_margin_ms",
             "must be less than coordination.lease_ms");
}

} // namespace

std::string toString(const SettingsError &Error) {
  return Error.m_File + ":" + std::to_string(Error.m_Line) + ": " +
         (Error.m_Field.empty() ? "" : Error.m_Field + ": ") + Error.m_Reason;
}

std::variant<Settings, std::vector<SettingsError>>
parseSettings(const std::string &Text, const std::string &File) {
  ReadContext Context{.m_File = File, .m_Errors = {}};
  try {
    SectionReader Reader(Context, YAML::Load(Text), "");
    Settings Result = readAll(Reader);
    checkFieldRelations(Result, Context);
    if (Context.m_Errors.empty())
      return Result;
  } catch (const YAML::Exception &Error) {
    Context.m_Errors.push_back({.m_File = File,
                                .m_Line = Error.mark.line + 1,
                                .m_Field = {},
                                .m_Reason = Error.msg});
  }
  return std::move(Context.m_Errors);
}

std::variant<Settings, std::vector<SettingsError>>
loadSettings(const std::string &File) {
  std::ifstream Stream(File);
  std::stringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    return std::vector<SettingsError>{{.m_File = File,
                                       .m_Line = 0,
                                       .m_Field = {},
                                       .m_Reason = "cannot be read"}};
  return parseSettings(Text.str(), File);
}

} // namespace balsamwheel::daemon
