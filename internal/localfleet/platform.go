package localfleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/camphorbank/camphorbank/internal/status"
)

// Faults are the faults that the platform stand-in simulates. Durations are strings with a unit, such as "100ms".
type Faults struct {
	Down    bool   `json:"down,omitempty"`     // the configuration service answers 503
	VMsDown bool   `json:"vms_down,omitempty"` // the VM list answers 503
	Delay   string `json:"delay,omitempty"`    // delay before each answer of the configuration service
	Serve   int64  `json:"serve,omitempty"`    // revision to serve instead of the latest
	VMLag   string `json:"vm_lag,omitempty"`   // age of the VM list that is served
}

// SetFaults replaces the faults that the named VM sees, or those that all others see if the name is empty.
func (f *Fleet) SetFaults(reader string, faults Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return put(f.Platform+"/admin/faults?reader="+url.QueryEscape(reader), body)
}

// PublishFor publishes a configuration document that only the named VM sees, instead of the one that all others see.
func (f *Fleet) PublishFor(reader string, revision int64, body []byte) error {
	return put(fmt.Sprintf("%s/admin/config?revision=%d&reader=%s", f.Platform, revision, url.QueryEscape(reader)), body)
}

// Counts are the numbers of calls that the platform stand-in has counted.
type Counts struct {
	Reads   int `json:"reads"`
	Watches int `json:"watches"`
	VMReads int `json:"vm_reads"`
	Refused int `json:"refused"`
	Waiting int `json:"waiting"`
}

// PlatformCounts returns the calls counted so far.
func (f *Fleet) PlatformCounts() (Counts, error) {
	var c Counts
	return c, GetJSON(f.Platform+"/admin/counts", &c)
}

// Status reads the status report of the node's process from its operators' listener, over plain HTTP.
func (n *Node) Status() (status.Process, error) {
	var p status.Process
	return p, GetJSON("http://"+n.Operators+"/status", &p)
}

// Vars decodes the counters that the node's operators' listener serves over plain HTTP into v.
func (n *Node) Vars(v any) error { return GetJSON("http://"+n.Operators+"/debug/vars", v) }

// ReadVars decodes the counters of a node into v, over TLS if the fleet uses it.
func (f *Fleet) ReadVars(n *Node, v any) error {
	res, err := f.operatorGet(n.Operators, "/debug/vars")
	return decode(res, err, v)
}

// GetJSON sends a GET request and decodes the JSON answer into v, for example the counts of a stand-in.
func GetJSON(url string, v any) error {
	res, err := http.Get(url)
	return decode(res, err, v)
}

func decode(res *http.Response, err error, v any) error {
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", res.Request.URL, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(v)
}
