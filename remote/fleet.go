package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pointport/pointport"
)

// This file defines the calls about instances and tasks.

// Instances returns the instances of zone, or all instances if zone is empty. It requests
// a compressed list, because most of its text is repeated from entry to entry.
func (c *Client) Instances(ctx context.Context, zone pointport.ZoneID) ([]pointport.Instance, error) {
	var list []pointport.Instance
	err := c.do(ctx, call{
		op: "instances", key: string(zone), method: http.MethodGet, path: "/v1/instances",
		query: url.Values{"zone": {string(zone)}}, compressed: true,
	}, &list)
	return list, err
}

// Drain marks an instance as leaving if its boot count is still boots.
func (c *Client) Drain(ctx context.Context, id pointport.InstanceID, boots int64) error {
	return c.postAction(ctx, "drain", id, boots)
}

// Restore marks a leaving instance as live if its boot count is still boots.
func (c *Client) Restore(ctx context.Context, id pointport.InstanceID, boots int64) error {
	return c.postAction(ctx, "restore", id, boots)
}

// Reboot restarts an instance if its boot count is still boots.
func (c *Client) Reboot(ctx context.Context, id pointport.InstanceID, boots int64) error {
	return c.postAction(ctx, "reboot", id, boots)
}

// postAction requests an action on an instance.
func (c *Client) postAction(ctx context.Context, op string, id pointport.InstanceID, boots int64) error {
	return c.do(ctx, call{
		op: op, key: string(id), method: http.MethodPost,
		path:  "/v1/instances/" + url.PathEscape(string(id)) + "/" + op,
		query: url.Values{"boots": {strconv.FormatInt(boots, 10)}}, mutating: true,
	}, nil)
}

// StartTask starts a task under its lease.
func (c *Client) StartTask(ctx context.Context, task pointport.Task) error {
	body, err := json.Marshal(task)
	if err != nil {
		return &pointport.UnavailableError{Op: "start", Key: string(task.ID), Err: err}
	}
	return c.do(ctx, call{
		op: "start", key: string(task.ID), method: http.MethodPost,
		path: "/v1/tasks", body: body, mutating: true,
	}, nil)
}

// Tasks returns the tasks that the instances of zone report.
func (c *Client) Tasks(ctx context.Context, zone pointport.ZoneID) ([]pointport.Task, error) {
	var list []pointport.Task
	err := c.do(ctx, call{
		op: "tasks", key: string(zone), method: http.MethodGet, path: "/v1/tasks",
		query: url.Values{"zone": {string(zone)}},
	}, &list)
	return list, err
}

// StopTask stops a task on an instance.
func (c *Client) StopTask(ctx context.Context, instance pointport.InstanceID, id pointport.TaskID) error {
	return c.do(ctx, call{
		op: "stop", key: string(id), method: http.MethodPost,
		path:  "/v1/tasks/" + url.PathEscape(string(id)) + "/stop",
		query: url.Values{"instance": {string(instance)}}, mutating: true,
	}, nil)
}
