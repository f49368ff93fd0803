package storer

// Messages of the JSON gateway of the etcd v3 API. Keys and values are base64-encoded, 64-bit
// numbers are strings.
type (
	// WireKV is a key with its value and lease.
	WireKV struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value,omitempty"`
		ModRevision int64  `json:"mod_revision,string,omitempty"`
		Lease       int64  `json:"lease,string,omitempty"`
	}

	// WireRange reads a key, or the keys from Key up to RangeEnd.
	WireRange struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}

	// WireRangeResponse is the response to WireRange.
	WireRangeResponse struct {
		KVs []WireKV `json:"kvs,omitempty"`
	}

	// WireCompare requires that the last change of a key has the given revision.
	WireCompare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"` // MOD
		Result      string `json:"result"` // EQUAL
		ModRevision int64  `json:"mod_revision,string"`
	}

	// WireOp is one operation of a transaction.
	WireOp struct {
		Put    *WireKV    `json:"requestPut,omitempty"`
		Delete *WireRange `json:"requestDeleteRange,omitempty"`
		Range  *WireRange `json:"requestRange,omitempty"`
	}

	// WireTxn executes Success if all comparisons hold, otherwise Failure.
	WireTxn struct {
		Compare []WireCompare `json:"compare"`
		Success []WireOp      `json:"success"`
		Failure []WireOp      `json:"failure,omitempty"`
	}

	// WireHeader holds the revision of the store.
	WireHeader struct {
		Revision int64 `json:"revision,string"`
	}

	// WireOpResponse is the result of one operation.
	WireOpResponse struct {
		Range *WireRangeResponse `json:"response_range,omitempty"`
	}

	// WireTxnResponse is the response to WireTxn.
	WireTxnResponse struct {
		Header    WireHeader       `json:"header"`
		Succeeded bool             `json:"succeeded,omitempty"`
		Responses []WireOpResponse `json:"responses,omitempty"`
	}

	// WireLease grants, renews or revokes a lease. TTL is in seconds.
	WireLease struct {
		ID  int64 `json:"ID,string,omitempty"`
		TTL int64 `json:"TTL,string,omitempty"`
	}

	// WireKeepAliveResponse is one message of the keep-alive stream.
	WireKeepAliveResponse struct {
		Result WireLease `json:"result"`
	}

	// WireWatch opens a watch.
	WireWatch struct {
		Create WireWatchCreate `json:"create_request"`
	}

	// WireWatchCreate selects the keys of a watch.
	WireWatchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string,omitempty"`
	}

	// WireWatchResponse is one message of the watch stream.
	WireWatchResponse struct {
		Result WireWatchResult `json:"result"`
	}

	// WireWatchResult holds the changes of a message.
	WireWatchResult struct {
		Events []WireEvent `json:"events,omitempty"`
	}

	// WireEvent is one change. Type is "DELETE", or empty for a put.
	WireEvent struct {
		Type string `json:"type,omitempty"`
		KV   WireKV `json:"kv"`
	}

	// WireError is the body of a response with a status other than 200.
	WireError struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
)

// Paths of the API calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

const (
	codeNotFound = 5 // gRPC status code for an expired lease

	// TargetMod and ResultEqual compare the modification revision for equality.
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
	// TypeDelete marks the event of a deleted key.
	TypeDelete = "DELETE"
)

// rangeEnd returns the first key after all keys with the prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
