package org.sassafrastrail.messages;

/** A message between two processes of the fleet. */
public sealed interface Message
        permits Hello,
                Demand,
                GrantOffer,
                GrantReturn,
                AttemptQuery,
                AttemptReport,
                LedgerUpdate,
                EvidenceUpdate,
                MoveUpdate,
                Heartbeat,
                RulesRequest,
                RulesAnnouncement,
                LoadReport,
                CopyRequest,
                TableCopy,
                CrashUpdate,
                DrainUpdate,
                LimitUpdate,
                PermitRequest,
                PermitAnswer,
                DomainAnnouncement,
                TableUpdate,
                UsageUpdate,
                DutyUpdate,
                CapacityUpdate {}
