#pragma once
#include <string>
#include <vector>

#include "base/operation_id.hpp"
#include "base/record.hpp"
#include "wire/codec.hpp"

/// \file
/// The records that agents and controllers exchange about idempotency keys.
///
/// Field order and types are fixed, for they are the bytes on the wire; a third element of a field is the
/// name that it has outside. `key` and `split` together name an operation (OperationId).

namespace dockbend {

/// What one disk says to a claim.
enum class ClaimVote : u8 {
  granted = 1,  ///< the key is the claimant's on this disk
  held = 2,     ///< another holder has it, or the claimant has released it
  epoch = 3,    ///< the disk is in another membership than the claim names
  unready = 4   ///< the disk has not copied the keys of a majority yet
};

/// Asks one disk for a key. `work_ms`: for how long the claimant may work on the request, milliseconds. `client`: names
/// the API key of a client whose tenant other machines may not know at this moment; see ClaimNames.
struct ClaimRequest {
  DB_RECORD(ClaimRequest, (std::string, key), (u64, holder), (Epoch, epoch), (Incarnation, incarnation), (u32, work_ms),
            (u32, split), (std::string, client));
};

/// A disk's vote. `holder` names whose claim it answers; `in_progress` says that another holder's work time
/// has not ended yet. `held_by`: who has the key, if the vote is `held`; 0: not stated.
struct ClaimResponse {
  DB_RECORD(ClaimResponse, (ClaimVote, vote, say), (u64, holder), (Epoch, epoch), (Incarnation, incarnation),
            (bool, in_progress, at_work), (u64, held_by));
};

/// Gives a key back. The holder makes no claim after it. `client`: as in its claim.
struct ReleaseRequest {
  DB_RECORD(ReleaseRequest, (std::string, key), (u64, holder), (u32, split), (std::string, client));
};

/// A longer body is not stored; repeats of its key are told that the answer is lost.
std::size_t constexpr kMostStoredBodyBytes = 65536;

/// The first answer to a keyed request, which repeats of the key get. It is stored in the key's home regions
/// only. `lost`: the request may have run and its answer is not known.
struct StoredAnswer {
  DB_RECORD(StoredAnswer, (std::string, key), (u64, holder), (u32, code), (std::string, reason),
            (std::vector<std::string>, headers, heads), (std::string, body), (bool, lost),
            (std::vector<std::string>, homes), (u32, split));
};

/// Of stored answers, encoded, whose operations share a text, the one that a repeat of this operation gets: that of the
/// first of these holders that has one. If no holder is named, any holder's; an operation that does not state its
/// tenant's name then gets the only one there is, if any. Null: there is none.
std::string const* choose_answer(std::vector<std::string> const& encoded_answers, OperationId const& operation,
                                 std::vector<u64> const& holders);

/// Asks a disk for the stored answer of a key. `holders`: whose it may be, the likeliest first; none: anybody's.
struct FetchAnswerRequest {
  DB_RECORD(FetchAnswerRequest, (std::string, key), (std::vector<u64>, holders), (u32, split));
};

/// `stored_answer`: an encoded StoredAnswer, if one was found.
struct FetchAnswerResponse {
  DB_RECORD(FetchAnswerResponse, (bool, found, have), (std::string, stored_answer, ret));
};

/// A new disk asks another one for keys. `epoch`: of the membership that the new disk knows; `after`: the keys behind
/// those of this text in their order, "" for the first; `pages`: at most so many answers, each with the keys behind the
/// one before. 0 pages: a program of before 2026-12-02, which wants all keys in one answer.
struct KeyCopyRequest {
  DB_RECORD(KeyCopyRequest, (Epoch, epoch), (u32, part), (std::string, after), (u32, pages));
};

/// A key that a disk has granted, and to whom.
struct HeldKey {
  DB_RECORD(HeldKey, (std::string, key), (u64, holder), (u32, split));
};

/// A page of the keys of one disk: those that follow `after`; `has_more`: others follow these. `epoch`: of the disk
/// that is copied; it grants nothing under an earlier one from then on.
struct KeyCopyResponse {
  DB_RECORD(KeyCopyResponse, (bool, ok), (Incarnation, incarnation), (std::vector<HeldKey>, keys), (Epoch, epoch),
            (std::string, after), (bool, has_more));
};

}  // namespace dockbend
