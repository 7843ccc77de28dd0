package hostpb

import (
	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
)

// ValuesToProto returns the message of a session's settings.
func ValuesToProto(values map[string]string) []*wasabislipv1.SessionValue {
	list := make([]*wasabislipv1.SessionValue, 0, len(values))
	for name, value := range values {
		list = append(list, &wasabislipv1.SessionValue{
			Name:  []byte(name),
			Value: []byte(value),
		})
	}
	return list
}

// ValuesFromProto returns the settings of a message; nil without any.
func ValuesFromProto(list []*wasabislipv1.SessionValue) map[string]string {
	if len(list) == 0 {
		return nil
	}
	values := make(map[string]string, len(list))
	for _, v := range list {
		values[string(v.GetName())] = string(v.GetValue())
	}
	return values
}

// RowsToProto returns the rows of an answer for its message.
func RowsToProto(rows []string) [][]byte {
	list := make([][]byte, len(rows))
	for i, r := range rows {
		list[i] = []byte(r)
	}
	return list
}

// RowsFromProto returns the rows of an answer's message; nil without any.
func RowsFromProto(list [][]byte) []string {
	if len(list) == 0 {
		return nil
	}
	rows := make([]string, len(list))
	for i, r := range list {
		rows[i] = string(r)
	}
	return rows
}
