// Package client calls the public services of a cell as a caller, an operator or an upstream.
//
//	c := client.New(client.Config{Addresses: []string{"127.0.0.1:7400"}, Key: key})
//	resp, err := c.Submit(ctx, &apiv1.SubmitRequest{RequestId: id, Queue: "labels", Job: job})
//
// Submit resends a job under the same request_id until the outcome is certain or the
// context ends. If an entry cannot be reached, the next call uses the next address.
package client
